/**
 * Requests that the upstream of this host works on, and the search for the one
 * that a call of the upstream is made for.
 *
 * A call carries nothing of its parent but the moment at which it expires. So
 * each request is handed to the upstream with a deadline that differs from
 * those of all others in progress by a few milliseconds, and the parent of a
 * call is the request whose deadline it has.
 */
import type {CallCounts} from './call_trees.js';

/** What calls inherit from a client's request. */
export interface CallOrigin {
  readonly importance: number;
  /** Id of the client's attempt at the root. */
  readonly rootId: string;
  /** Route at which the root entered. */
  readonly rootRouteName: string;
  /** When the root's attempt began, on this node's clock. */
  readonly rootBeganAtMillis: number;
  /** The root, or a request on the way, was sent to a second upstream. */
  readonly isRepeat: boolean;
}

/** A request in progress at the upstream. */
export interface InFlightParent {
  readonly origin: CallOrigin;
  /** Milliseconds the upstream was told that are left. */
  readonly timeoutMillis: number;
  /** Adds the calls that one call caused below. */
  addCalls(counts: CallCounts): void;
  /** Notes that a call made for this request failed. */
  markFailedCall(wasRefused: boolean): void;
  readonly hasFailedCall: boolean;
  readonly hasRefusedCall: boolean;
  readonly calls: CallCounts;
  /** Ends the record. */
  close(): void;
}

/** Registry of one node. */
export interface InFlightParents {
  /** Records a request that is handed over now with so much time left. */
  open(origin: CallOrigin, leftMillis: number): InFlightParent;
  /** The request that expires in so many milliseconds, if exactly one fits. */
  find(leftMillis: number): InFlightParent | undefined;
  count(): number;
}

/** Distance between deadlines; a call's expiry is rounded to milliseconds. */
const SPACING_MILLIS = 4;

/** A call's expiry may lie this much after that of its parent, by rounding. */
const AFTER_MILLIS = 1;

/** And this much before it, by the time the request and the call travel. */
const BEFORE_MILLIS = 3;

/** Most that a deadline is shortened to keep it apart from the others. */
const MAX_SHORTENED_MILLIS = 80;

interface Entry extends InFlightParent {
  readonly deadlineMillis: number;
}

/** Creates an empty registry. */
export function createInFlightParents(
  nowMillis: () => number,
): InFlightParents {
  const bySlot = new Map<number, Entry>();

  const chooseSlot = (latestMillis: number): number => {
    const latest = Math.floor(latestMillis / SPACING_MILLIS);
    const count = MAX_SHORTENED_MILLIS / SPACING_MILLIS;
    for (let step = 1; step <= count; step += 1) {
      if (!bySlot.has(latest - step)) return latest - step;
    }
    return latest - 1;
  };

  return {
    open: (origin, leftMillis) => {
      const now = nowMillis();
      const slot = chooseSlot(now + leftMillis);
      const deadlineMillis = slot * SPACING_MILLIS + BEFORE_MILLIS;
      const timeoutMillis = Math.max(1, Math.round(deadlineMillis - now));
      const entry = createEntry(origin, timeoutMillis, deadlineMillis, () => {
        if (bySlot.get(slot) === entry) bySlot.delete(slot);
      });
      bySlot.set(slot, entry);
      return entry;
    },
    find: leftMillis => {
      const deadline = nowMillis() + leftMillis;
      const slot = Math.floor((deadline + AFTER_MILLIS) / SPACING_MILLIS);
      return [bySlot.get(slot), bySlot.get(slot - 1), bySlot.get(slot + 1)]
        .filter(entry => entry !== undefined)
        .find(entry => fits(entry, deadline));
    },
    count: () => bySlot.size,
  };
}

function fits(entry: Entry, deadlineMillis: number): boolean {
  const difference = entry.deadlineMillis - deadlineMillis;
  return difference <= BEFORE_MILLIS && difference >= -AFTER_MILLIS;
}

function createEntry(
  origin: CallOrigin,
  timeoutMillis: number,
  deadlineMillis: number,
  close: () => void,
): Entry {
  const calls = new Map<string, number>();
  let hasFailedCall = false;
  let hasRefusedCall = false;
  return {
    origin,
    timeoutMillis,
    deadlineMillis,
    calls,
    close,
    get hasFailedCall() {
      return hasFailedCall;
    },
    get hasRefusedCall() {
      return hasRefusedCall;
    },
    addCalls: counts => {
      for (const [service, count] of counts) {
        calls.set(service, (calls.get(service) ?? 0) + count);
      }
    },
    markFailedCall: wasRefused => {
      hasFailedCall = true;
      hasRefusedCall ||= wasRefused;
    },
  };
}
