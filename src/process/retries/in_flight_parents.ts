/**
 * Tracks the requests in progress at the upstream of this host, and finds the
 * parent request of a call that the upstream makes.
 *
 * Upstreams derive the id of a call from the id of its parent request: the
 * parent's id, a dot and a suffix. A call is attributed to the upstream only if
 * its parent is in progress here, so an id that only looks derived has no
 * effect.
 */
import type {CallCounts} from '../admission/call_trees.js';
import type {RetryGrant} from './retry_grant.js';

/** Properties that calls inherit from the client's request. */
export interface CallOrigin {
  readonly importance: number;
  /**
   * Organisation of the client that sent the root, if clients have API keys.
   */
  readonly organisationName?: string | undefined;
  /** Id of the client's attempt at the root. */
  readonly rootId: string;
  /** Route on which the root request entered. */
  readonly rootRouteName: string;
  /** Start of the root's attempt, on the clock of this node. */
  readonly rootBeganAtMillis: number;
  /**
   * The root, or a request between it and this one, was sent to a second
   * upstream.
   */
  readonly isRepeat: boolean;
  /** Retries that the request may still cause, shared by all its calls here. */
  readonly grant: RetryGrant;
}

/** A request in progress at the upstream. */
export interface InFlightParent {
  readonly origin: CallOrigin;
  /** Adds calls made on behalf of the request, directly or further down. */
  addCalls(counts: CallCounts): void;
  /** Records that a call made for this request failed. */
  markFailedCall(): void;
  readonly hasFailedCall: boolean;
  readonly calls: CallCounts;
  /** Removes the request from the registry. */
  close(): void;
}

/** Requests in progress, by attempt id. */
export interface InFlightParents {
  /** Records a request that is sent to the upstream. */
  open(attemptId: string, origin: CallOrigin): InFlightParent;
  /** Returns the parent request of the call with this id. */
  find(callId: string): InFlightParent | undefined;
}

const ID_SEPARATOR = '.';

/** Creates an empty registry. */
export function createInFlightParents(): InFlightParents {
  const byAttemptId = new Map<string, InFlightParent>();
  return {
    open: (attemptId, origin) => {
      const parent = createParent(origin, () => {
        if (byAttemptId.get(attemptId) === parent) {
          byAttemptId.delete(attemptId);
        }
      });
      byAttemptId.set(attemptId, parent);
      return parent;
    },
    find: callId => {
      const end = callId.lastIndexOf(ID_SEPARATOR);
      return end < 0 ? undefined : byAttemptId.get(callId.slice(0, end));
    },
  };
}

/**
 * Plain property: an accessor in an object literal makes each parent costly.
 */
interface MutableParent extends InFlightParent {
  hasFailedCall: boolean;
}

function createParent(origin: CallOrigin, close: () => void): InFlightParent {
  const calls = new Map<string, number>();
  const parent: MutableParent = {
    origin,
    calls,
    close,
    hasFailedCall: false,
    addCalls: counts => {
      for (const [service, count] of counts) {
        calls.set(service, (calls.get(service) ?? 0) + count);
      }
    },
    markFailedCall: () => {
      parent.hasFailedCall = true;
    },
  };
  return parent;
}
