/**
 * How much of what it is handed an upstream rejects.
 *
 * Load pattern: some upstreams of a service reject half of what they are handed,
 * at once and with free slots. They look idle, and their slots hide the queue of
 * those that everything turns to. What arrives at each tells where work goes.
 */
import type {RejectionFields} from '../../protocol/hop_messages.js';

/** Rate of one upstream. */
export interface RejectionRate {
  /** Counts a request for the upstream. */
  recordArrival(): void;
  recordRejected(): void;
  current(): RejectionFields;
}

/** Time over which rates are averaged. */
const AVERAGE_MILLIS = 500;

/** Rejections per second that are not worth a word. */
const MIN_REJECTED_PER_SECOND = 0.05;

const MILLIS_PER_SECOND = 1000;

/** Creates a rate of an upstream that has rejected nothing. */
export function createRejectionRate(nowMillis: () => number): RejectionRate {
  let rejectedCount = 0;
  let arrivedCount = 0;
  let decayedMillis = nowMillis();

  const decay = (): void => {
    const now = nowMillis();
    const kept = Math.exp((decayedMillis - now) / AVERAGE_MILLIS);
    rejectedCount *= kept;
    arrivedCount *= kept;
    decayedMillis = now;
  };

  return {
    recordArrival: () => {
      decay();
      arrivedCount += 1;
    },
    recordRejected: () => {
      decay();
      rejectedCount += 1;
    },
    current: () => {
      decay();
      const perSecond = MILLIS_PER_SECOND / AVERAGE_MILLIS;
      return {
        rejectedPerSecond: rejectedCount * perSecond,
        arrivedPerSecond: arrivedCount * perSecond,
      };
    },
  };
}

/** Whether more is rejected than is not worth a word. */
export function isRejecting(rejections: RejectionFields | undefined): boolean {
  return (rejections?.rejectedPerSecond ?? 0) >= MIN_REJECTED_PER_SECOND;
}
