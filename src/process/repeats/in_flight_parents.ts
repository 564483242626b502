/**
 * Requests that the upstream of this host works on, and the search for the one
 * that a call of the upstream is made for.
 *
 * Upstreams derive the id of a call from the id of the request it is made for:
 * the parent's id, a dot, and a part of its own. A call is taken for one of the
 * upstream's only if its parent is in progress here, so an id that merely looks
 * derived changes nothing.
 */
import type {CallCounts} from '../admission/call_trees.js';
import type {RetryGrant} from './retry_grant.js';

/** What calls inherit from a client's request. */
export interface CallOrigin {
  readonly importance: number;
  /** Organisation whose client sent the root, if clients have API keys. */
  readonly organisationName?: string | undefined;
  /** Id of the client's attempt at the root. */
  readonly rootId: string;
  /** Route at which the root entered. */
  readonly rootRouteName: string;
  /** When the root's attempt began, on this node's clock. */
  readonly rootBeganAtMillis: number;
  /** The root, or a request on the way, was sent to a second upstream. */
  readonly isRepeat: boolean;
  /** Repeats that the request may still cause, shared by all its calls here. */
  readonly grant: RetryGrant;
}

/** A request in progress at the upstream. */
export interface InFlightParent {
  readonly origin: CallOrigin;
  /** Adds the calls that one call caused below. */
  addCalls(counts: CallCounts): void;
  /** Notes that a call made for this request failed. */
  markFailedCall(): void;
  readonly hasFailedCall: boolean;
  readonly calls: CallCounts;
  /** Ends the record. */
  close(): void;
}

/** Registry of one node. */
export interface InFlightParents {
  /** Records a request that is handed over now. */
  open(attemptId: string, origin: CallOrigin): InFlightParent;
  /** The request that a call with this id is made for. */
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

/** A plain field: an accessor in a literal makes each parent costly to create. */
interface OwnParent extends InFlightParent {
  hasFailedCall: boolean;
}

function createParent(origin: CallOrigin, close: () => void): InFlightParent {
  const calls = new Map<string, number>();
  const parent: OwnParent = {
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
