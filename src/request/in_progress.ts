/**
 * Requests being executed by the local upstream, found by their context token.
 */
import {randomBytes} from 'node:crypto';
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

const TOKEN_BYTES = 12;

/** Creates an empty table; its size is bounded by the admitted calls. */
export function createInProgressRequests(): InProgressRequests {
  const scopes = new Map<string, RequestScope>();
  return {
    open: scope => {
      const token = randomBytes(TOKEN_BYTES).toString('base64url');
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
