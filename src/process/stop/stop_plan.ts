/**
 * Determines which requests a stopping node still accepts, and how long each
 * phase of the stop may last.
 *
 * Load pattern: many hosts of one availability zone are restarted as planned.
 * Their clients find no other host and keep sending, so a node that accepts
 * every request is busy until its grace period ends and leaves requests
 * unanswered. Clients get a few seconds to detect that this host is not ready;
 * later requests are rejected immediately as not run, with a time to retry
 * after. Calls of the local upstream are accepted for as long as they can finish
 * before the requests in progress are abandoned: without these calls the requests
 * would fail earlier, and afterwards no process would be left to answer the calls.
 */

export interface IncomingRequest {
  /** A call that the local upstream makes for a request it is processing. */
  readonly isFromUpstream: boolean;
  /** Time that it will most likely take; `undefined` if unknown. */
  readonly expectedMillis?: number | undefined;
}

/** Phases of the stop of one node. */
export interface StopPlan {
  readonly isStopping: boolean;
  /** Time until which requests of clients are accepted. */
  readonly acceptingUntilMillis: number;
  /** Time until which accepted requests may be in progress. */
  readonly finishingUntilMillis: number;
  /** Time by which the process must have exited. */
  readonly endMillis: number;
  begin(graceMillis: number): void;
  accepts(request: IncomingRequest): boolean;
}

/**
 * Time that clients need to detect that this host is no longer ready: two
 * checks, one second apart, and the response to the second.
 */
const CLIENT_NOTICE_MILLIS = 2300;

/** Minimum share of the grace period left for accepted requests to finish. */
const MIN_FINISHING_RATIO = 0.4;

/**
 * Final share of the grace period, reserved for writing the last responses; the
 * end of it is reserved for the process to exit. On a busy host with half a
 * core, timers fire a few hundred milliseconds late, and a killed process sends
 * no responses; reserving more than a sixth would abandon requests that could
 * still be answered.
 */
const FINAL_RESPONSES = {ratio: 1 / 8, maxMillis: 750};
const PROCESS_EXIT = {ratio: 1 / 12, maxMillis: 500};

/** Creates the plan of a running node. */
export function createStopPlan(nowMillis: () => number): StopPlan {
  let acceptingUntilMillis = Infinity;
  let finishingUntilMillis = Infinity;
  let endMillis = Infinity;
  return {
    get isStopping() {
      return endMillis !== Infinity;
    },
    get acceptingUntilMillis() {
      return acceptingUntilMillis;
    },
    get finishingUntilMillis() {
      return finishingUntilMillis;
    },
    get endMillis() {
      return endMillis;
    },
    begin: graceMillis => {
      const now = nowMillis();
      const maxAcceptingMillis = graceMillis * (1 - MIN_FINISHING_RATIO);
      acceptingUntilMillis =
        now + Math.min(CLIENT_NOTICE_MILLIS, maxAcceptingMillis);
      finishingUntilMillis =
        now + graceMillis - cappedShareMillis(graceMillis, FINAL_RESPONSES);
      endMillis =
        now + graceMillis - cappedShareMillis(graceMillis, PROCESS_EXIT);
    },
    accepts: ({isFromUpstream, expectedMillis = 0}) => {
      const now = nowMillis();
      if (!isFromUpstream) return now < acceptingUntilMillis;
      return now + expectedMillis < finishingUntilMillis;
    },
  };
}

function cappedShareMillis(
  graceMillis: number,
  share: {readonly ratio: number; readonly maxMillis: number},
): number {
  return Math.min(graceMillis * share.ratio, share.maxMillis);
}
