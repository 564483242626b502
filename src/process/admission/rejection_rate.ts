/**
 * Rate at which an upstream rejects requests.
 *
 * Load pattern: some upstreams of a service reject half of their requests,
 * immediately and with free slots. They look idle, and their free slots hide
 * the queues of the upstreams that receive all other requests. The arrival rate
 * at each upstream shows where the work goes.
 */
import type {RejectionFields} from '../../protocol/hop_messages.js';

/** Rejection rate of one upstream. */
export interface RejectionRate {
  /** Records a request for the upstream. */
  recordArrival(): void;
  recordRejected(): void;
  current(): RejectionFields;
}

/** Time over which rates are averaged. */
const AVERAGE_MILLIS = 500;

/**
 * Rejections per second below which an upstream does not count as rejecting.
 */
const MIN_REJECTED_PER_SECOND = 0.05;

const MILLIS_PER_SECOND = 1000;

/** Creates the rate of an upstream that has not rejected any request. */
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

/** Whether the rate of rejections is high enough to be considered. */
export function isRejecting(rejections: RejectionFields | undefined): boolean {
  return (rejections?.rejectedPerSecond ?? 0) >= MIN_REJECTED_PER_SECOND;
}
