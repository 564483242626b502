/**
 * Bound on calls sent to a service whose hosts all say that they refuse the
 * class: in proportion to what they accepted of late.
 */
import type {TimeSource} from '../base/time_source.js';

/** Time in which an old observation loses half of its weight. */
const HALF_LIFE_MILLIS = 500;

/** Calls sent for each accepted one; above 1 so that acceptance can grow. */
const SENT_PER_ACCEPTED = 2;

/** Calls sent in one half-life though none was accepted. */
const MINIMUM_SENT_COUNT = 1;

/**
 * Refusing a class outright on the word of the last report would leave hosts
 * idle until that report has aged: nobody sends, so nobody learns. The
 * throttle keeps enough calls coming to use what capacity is left.
 */
export abstract class RefusalThrottle {
  /** Notes a call that wants to go to the service. */
  abstract recordRequest(service: string, classIndex: number): void;
  /** Notes a call that a host of the service did not refuse. */
  abstract recordAccepted(service: string, classIndex: number): void;
  /** Whether a call may be sent although every host refuses its class. */
  abstract mayPass(service: string, classIndex: number): boolean;
}

interface Counts {
  requestedCount: number;
  acceptedCount: number;
  decayedMillis: number;
}

/** Creates a throttle; its state grows with services times classes. */
export function createRefusalThrottle(
  time: TimeSource,
  random: () => number,
): RefusalThrottle {
  const countsByService = new Map<string, Counts[]>();

  function countsOf(service: string, classIndex: number): Counts {
    let list = countsByService.get(service);
    if (list === undefined) {
      list = [];
      countsByService.set(service, list);
    }
    const nowMillis = time.monotonicMillis();
    const counts = (list[classIndex] ??= {
      requestedCount: 0,
      acceptedCount: 0,
      decayedMillis: nowMillis,
    });
    decay(counts, nowMillis);
    return counts;
  }

  return new (class extends RefusalThrottle {
    override recordRequest(service: string, classIndex: number): void {
      countsOf(service, classIndex).requestedCount += 1;
    }
    override recordAccepted(service: string, classIndex: number): void {
      countsOf(service, classIndex).acceptedCount += 1;
    }
    override mayPass(service: string, classIndex: number): boolean {
      const counts = countsOf(service, classIndex);
      const allowedCount =
        SENT_PER_ACCEPTED * counts.acceptedCount + MINIMUM_SENT_COUNT;
      return random() * counts.requestedCount < allowedCount;
    }
  })();
}

function decay(counts: Counts, nowMillis: number): void {
  const elapsedMillis = nowMillis - counts.decayedMillis;
  if (elapsedMillis <= 0) return;
  const weight = 0.5 ** (elapsedMillis / HALF_LIFE_MILLIS);
  counts.requestedCount *= weight;
  counts.acceptedCount *= weight;
  counts.decayedMillis = nowMillis;
}
