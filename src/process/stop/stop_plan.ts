/**
 * What a node that stops still takes, and how long each step of its stop may
 * last.
 *
 * Load pattern: planned restarts of many hosts of one availability zone. Their
 * clients find no other host and keep coming, so that a node which takes what
 * comes is at work until its grace ends and leaves requests unanswered. Clients
 * have some seconds to learn that this host is not ready; whoever comes later is
 * told at once that the request has not run and when to come back. Calls of the
 * own upstream are taken until what is at work is given up: without them that
 * would fail sooner, and after it nobody would be left to answer them.
 */

/** A request that comes in. */
export interface IncomingRequest {
  /** A call that the own upstream makes for a request that it works on. */
  readonly isFromUpstream: boolean;
}

/** The stop of one node. */
export interface StopPlan {
  readonly isStopping: boolean;
  /** Until when requests of clients are taken. */
  readonly acceptingUntilMillis: number;
  /** Until when what was taken may be at work. */
  readonly finishingUntilMillis: number;
  /** When the process must have ended. */
  readonly endMillis: number;
  begin(graceMillis: number): void;
  accepts(request: IncomingRequest): boolean;
}

/**
 * Time that clients take to learn that this host is not ready any more: two
 * looks, a second apart, and the answer to the second.
 */
const NOTICE_MILLIS = 2300;

/** Part of the grace period that what was taken has at least. */
const FINISHING_RATIO = 0.4;

/**
 * Last part of the grace period, for final answers to be written, and of that
 * the last part, for the process to end. On a busy host with half a core timers
 * come some hundred milliseconds late, and a process that is killed answers
 * nobody; more than a sixth would give up what could still be answered.
 */
const ANSWERING = {ratio: 1 / 8, mostMillis: 750};
const ENDING = {ratio: 1 / 12, mostMillis: 500};

/** Creates the plan of a node that runs. */
export function createStopPlan(nowMillis: () => number): StopPlan {
  let takingUntilMillis = Infinity;
  let finishingUntilMillis = Infinity;
  let endMillis = Infinity;
  return {
    get isStopping() {
      return endMillis !== Infinity;
    },
    get acceptingUntilMillis() {
      return takingUntilMillis;
    },
    get finishingUntilMillis() {
      return finishingUntilMillis;
    },
    get endMillis() {
      return endMillis;
    },
    begin: graceMillis => {
      const now = nowMillis();
      const latestMillis = graceMillis * (1 - FINISHING_RATIO);
      takingUntilMillis = now + Math.min(NOTICE_MILLIS, latestMillis);
      finishingUntilMillis = now + graceMillis - partOf(graceMillis, ANSWERING);
      endMillis = now + graceMillis - partOf(graceMillis, ENDING);
    },
    accepts: ({isFromUpstream}) =>
      nowMillis() < (isFromUpstream ? finishingUntilMillis : takingUntilMillis),
  };
}

function partOf(
  graceMillis: number,
  part: {readonly ratio: number; readonly mostMillis: number},
): number {
  return Math.min(graceMillis * part.ratio, part.mostMillis);
}
