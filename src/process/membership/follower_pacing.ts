/**
 * Decides how long a follower of published documents waits between its calls.
 *
 * Load pattern: every node follows the entries of all upstreams. In a release,
 * or while a fleet starts, an entry changes several times a second, and a node
 * that asks again after each change makes as many calls as there are changes:
 * the store gets the square of the fleet, and each answer wakes a process. So
 * changes are gathered for as long as the bound on bringing one into force
 * allows. A store that is away is asked seldom, yet soon enough after its
 * return.
 */

/** Waits of one follower. */
export interface FollowerPacing {
  /** How long the next watch waits for a change. */
  watchTimeoutMillis(): number;
  /** Pause between a watch that brought changes and the next one. */
  batchDelayMillis(): number;
  /** Pause before a read that all nodes owe at the same moment. */
  readJitterMillis(): number;
  /** Pause after a call that took so long and failed. */
  retryDelayMillis(tookMillis: number): number;
  /** A call was answered. */
  recordSuccess(): void;
}

/** What a pace needs. */
export interface FollowerPacingOptions {
  /** Bound from a change's acknowledgement to its effect here. */
  readonly applyWithinMillis: number;
  /** What the bound must leave for nodes that ask this one; 0 if none does. */
  readonly relayReserveMillis?: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Wait of a watch while nothing changes. A connection that went silent is
 * noticed when its watch is overdue, and for 3 s after such a fault no bound
 * holds; with the time added for the answer, and the shortest bound of 2 s on
 * top, a change after that is still in force in time.
 */
const REST_WAIT_MILLIS = 3500;

/**
 * Wait of a watch while the source is lost: a source that answers again is
 * noticed at once, not only when a long watch is overdue that was sent into the
 * loss.
 */
const LOST_WAIT_MILLIS = 100;

/**
 * What the bound must leave after the pause: an answer of a store a hundred
 * times slower than its 4 ms, and a timer that fires late because the process
 * had used up its share of a tenth of a second.
 */
const GATHER_RESERVE_MILLIS = 450;

/** Part of the pause left to chance, so that nodes do not all ask at once. */
const GATHER_SPREAD_MILLIS = 50;

/**
 * Wait of the first watch after a pause. Nodes learn of a change within a tenth of
 * a second, and after the pause all begin to watch at about the same moment. A
 * store that drops its history just then tells them only when their wait is over,
 * and with a long one all would follow a version late. The watches after these begin
 * at different moments, and who is told tells the others.
 */
const FIRST_WAIT_MILLIS = 100;
const FIRST_WAIT_SPREAD_MILLIS = 400;

/**
 * Time over which nodes spread a read that all of them owe: 830 of them with two
 * pages each are 8,300 reads a second, where a store for so many allows more.
 */
const READ_SPREAD_MILLIS = 200;

/** Pause after a first failure: a connection that was cut, most often. */
const FIRST_RETRY_MILLIS = 100;

/**
 * Longest time from one failed call to the next. Entries that lapsed are back
 * two seconds after the store, and what is missing then must get nothing two
 * seconds later; a node that notices the return after 1.2 s is in time.
 */
const MAX_RETRY_MILLIS = 1000;

/** Part by which the time to the next call is varied, either way. */
const RETRY_SPREAD_RATIO = 0.2;

/** Creates the pace of one follower. */
export function createFollowerPacing(
  options: FollowerPacingOptions,
): FollowerPacing {
  const {applyWithinMillis, relayReserveMillis = 0, random} = options;
  let failuresCount = 0;
  let isAfterPause = false;
  return {
    watchTimeoutMillis: () => {
      if (failuresCount > 0) return LOST_WAIT_MILLIS;
      if (!isAfterPause) return REST_WAIT_MILLIS;
      isAfterPause = false;
      return FIRST_WAIT_MILLIS + random() * FIRST_WAIT_SPREAD_MILLIS;
    },
    batchDelayMillis: () => {
      isAfterPause = true;
      const pauseMillis =
        applyWithinMillis - GATHER_RESERVE_MILLIS - relayReserveMillis;
      return Math.max(0, pauseMillis - random() * GATHER_SPREAD_MILLIS);
    },
    readJitterMillis: () => random() * READ_SPREAD_MILLIS,
    retryDelayMillis: tookMillis => {
      const stepMillis = Math.min(
        MAX_RETRY_MILLIS,
        FIRST_RETRY_MILLIS * 2 ** failuresCount,
      );
      failuresCount += 1;
      const spread = 1 + RETRY_SPREAD_RATIO * (2 * random() - 1);
      return Math.max(FIRST_RETRY_MILLIS, stepMillis * spread - tookMillis);
    },
    recordSuccess: () => {
      failuresCount = 0;
    },
  };
}
