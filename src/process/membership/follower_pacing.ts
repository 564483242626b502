/**
 * Determines the delays between the calls of a follower of published documents.
 *
 * Load pattern: every node follows the entries of all upstreams. During a
 * release, or while a fleet starts, an entry changes several times a second,
 * and a node that polls again after each change makes as many calls as there
 * are changes: the load on the store grows with the square of the fleet, and
 * each response wakes a process. So changes are batched for as long as the
 * bound on applying one allows. An unavailable store is polled rarely, yet soon
 * enough after its return.
 */

import {CALL_RESERVE_MILLIS} from './document_freshness.js';

/** Delays and timeouts of one follower. */
export interface FollowerPacing {
  /**
   * Timeout of the next watch, in whole milliseconds. `renewInMillis`: time
   * until the knowledge of this node is too old for the nodes that poll it; if
   * omitted, none does.
   */
  watchTimeoutMillis(renewInMillis?: number): number;
  /**
   * Delay after a watch without changes: none if it has waited for them, but a
   * source may respond early, and must not be called in a tight loop.
   */
  unchangedDelayMillis(tookMillis: number, timeoutMillis: number): number;
  /** Delay between a watch that returned changes and the next one. */
  batchDelayMillis(renewInMillis?: number): number;
  /**
   * Random delay before a read that all nodes have to make at the same time.
   */
  readJitterMillis(): number;
  /** Delay after a failed call, given the duration of the call. */
  retryDelayMillis(tookMillis: number): number;
  /** Records that a call succeeded, which resets the backoff. */
  recordSuccess(): void;
}

export interface FollowerPacingOptions {
  /**
   * Maximum time from a change's acknowledgement to its effect on this node.
   */
  readonly applyWithinMillis: number;
  /**
   * Part of that time reserved for nodes that poll this one; 0 if none does.
   */
  readonly relayReserveMillis?: number;
  /** Returns numbers uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Timeout of a watch while nothing changes. A silent connection is detected
 * when its watch is overdue. The bound on applying a change does not count for
 * 3 s after such a fault, and the shortest bound is 2 s: a watch that ends
 * within these 5 s, including the time added for the response, is in time.
 */
const IDLE_WATCH_TIMEOUT_MILLIS = 3500;

/**
 * Timeout of a watch while the source is lost: the return of the source is then
 * detected at once, not only when a long watch sent during the outage is
 * overdue.
 */
const SOURCE_LOST_WATCH_TIMEOUT_MILLIS = 100;

/**
 * Minimum timeout of a watch that renews this node's knowledge: each watch costs
 * a call, although it returns changes at once.
 */
const MIN_WATCH_TIMEOUT_MILLIS = 100;

/** Jitter of the batch delay, so that nodes do not all poll at once. */
const BATCH_JITTER_MILLIS = 50;

/**
 * Timeout of the first watch after a batch delay. Nodes receive a change within
 * a tenth of a second, and all start to watch at about the same time after the
 * delay. A store that drops its history at that moment responds to them only at
 * their timeout; with a long one all of them would apply a version late. Later
 * watches start at different times, and a node that is notified relays the
 * change to the others.
 */
const FIRST_WATCH_TIMEOUT_MILLIS = 100;
const FIRST_WATCH_JITTER_MILLIS = 400;

/**
 * Period over which nodes spread a read that all of them have to make: 830
 * nodes with two pages each make 8,300 reads a second, which is below the limit
 * of a store for a fleet of this size.
 */
const READ_JITTER_MILLIS = 200;

/** Delay after a first failure, which is usually a dropped connection. */
const MIN_RETRY_DELAY_MILLIS = 100;

/**
 * Maximum time from one failed call to the next. Expired entries are renewed
 * within two seconds of the return of the store, and an upstream that is still
 * missing then must get no requests two seconds later; a node that detects the
 * return within 1.2 s meets this.
 */
const MAX_RETRY_DELAY_MILLIS = 1000;

/** Jitter of the time to the next call, in both directions. */
const RETRY_JITTER_RATIO = 0.2;

/** Creates the pacing of one follower. */
export function createFollowerPacing(
  options: FollowerPacingOptions,
): FollowerPacing {
  const {applyWithinMillis, relayReserveMillis = 0, random} = options;
  let failuresCount = 0;
  let isAfterBatchDelay = false;
  return {
    watchTimeoutMillis: renewInMillis => {
      if (failuresCount > 0) return SOURCE_LOST_WATCH_TIMEOUT_MILLIS;
      if (renewInMillis !== undefined) {
        isAfterBatchDelay = false;
        return Math.ceil(Math.max(MIN_WATCH_TIMEOUT_MILLIS, renewInMillis));
      }
      if (!isAfterBatchDelay) return IDLE_WATCH_TIMEOUT_MILLIS;
      isAfterBatchDelay = false;
      const jitterMillis = random() * FIRST_WATCH_JITTER_MILLIS;
      return Math.ceil(FIRST_WATCH_TIMEOUT_MILLIS + jitterMillis);
    },
    unchangedDelayMillis: (tookMillis, timeoutMillis) =>
      tookMillis < timeoutMillis
        ? Math.max(0, MIN_WATCH_TIMEOUT_MILLIS - tookMillis)
        : 0,
    batchDelayMillis: (renewInMillis = Infinity) => {
      isAfterBatchDelay = true;
      const delayMillis =
        applyWithinMillis - CALL_RESERVE_MILLIS - relayReserveMillis;
      const jitterMillis = random() * BATCH_JITTER_MILLIS;
      return Math.max(0, Math.min(delayMillis, renewInMillis) - jitterMillis);
    },
    readJitterMillis: () => random() * READ_JITTER_MILLIS,
    retryDelayMillis: tookMillis => {
      const backoffMillis = Math.min(
        MAX_RETRY_DELAY_MILLIS,
        MIN_RETRY_DELAY_MILLIS * 2 ** failuresCount,
      );
      failuresCount += 1;
      const jitter = 1 + RETRY_JITTER_RATIO * (2 * random() - 1);
      return Math.max(
        MIN_RETRY_DELAY_MILLIS,
        backoffMillis * jitter - tookMillis,
      );
    },
    recordSuccess: () => {
      failuresCount = 0;
    },
  };
}
