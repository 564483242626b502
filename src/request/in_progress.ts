/**
 * Requests being executed by the local upstream, found by their context token.
 */
import {randomUUID} from 'node:crypto';
import type {RequestScope} from './request_scope.js';

/** Requests in progress on this host. */
export interface InProgressRequests {
  /** Adds a request; the token is unguessable. */
  open(scope: RequestScope): InProgressEntry;
  find(token: string): RequestScope | undefined;
  count(): number;
}

/** One request in progress. */
export interface InProgressEntry {
  readonly token: string;
  /** Forgets the request; calls that still carry its token have no context. */
  close(): void;
}

/** Creates an empty table; its size is bounded by the admitted calls. */
export function createInProgressRequests(): InProgressRequests {
  const scopes = new Map<string, RequestScope>();
  return {
    open: scope => {
      // Node draws these from a pool of random bytes; a system call for each
      // request took 2% of the processor time of a call.
      const token = randomUUID();
      scopes.set(token, scope);
      return {
        token,
        close: () => {
          scopes.delete(token);
        },
      };
    },
    find: token => scopes.get(token),
    count: () => scopes.size,
  };
}
