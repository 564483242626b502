/**
 * Early refusal of requests that a service deeper in the graph would refuse.
 */
import type {TimeSource} from '../base/time_source.js';

/** Time in which an old observation loses half of its weight. */
const HALF_LIFE_MILLIS = 500;

/**
 * Requests let in for each accepted one while some are refused. Little above 1:
 * every refused one has cost work at all services before the one that refused.
 */
const SENT_PER_ACCEPTED = 1.1;

/** The same once none is refused any more, so that a recovery is used. */
const SENT_PER_ACCEPTED_AFTERWARDS = 3;

/** Share of refused ones from which on a route counts as refused. */
const REFUSED_RATIO = 0.05;

/**
 * Refused ones, by their weight, below which all requests enter. Requests that
 * have not ended yet are no evidence: without this bound the first burst on a
 * route would be refused because none of it has been accepted so far.
 */
const FORGOTTEN_COUNT = 0.1;

/** Requests let in within one half-life though none was accepted. */
const MINIMUM_SENT_COUNT = 1;

/** A kind of request, told apart by what it depends on. */
export interface ThrottledRoute {
  readonly service: string;
  readonly routeName: string;
  /** Position of the class in the policy; 0 is most important. */
  readonly classIndex: number;
}

/**
 * A host reports its own load only. A request that is refused three services
 * down has been executed by two of them, for nothing, and callers that repeat
 * it multiply that work. The throttle learns by route what becomes of whole
 * requests and lets in about as many as are accepted.
 */
export abstract class RouteThrottle {
  /** Notes a request that wants to enter and says whether it may. */
  abstract mayEnter(route: ThrottledRoute): boolean;
  /** Notes the end of a request that was let in. */
  abstract recordEnd(route: ThrottledRoute, isRefused: boolean): void;
}

interface RouteCounts {
  readonly classIndex: number;
  requestedCount: number;
  acceptedCount: number;
  refusedCount: number;
  decayedMillis: number;
}

/** Creates a throttle; its state grows with the routes of the policy. */
export function createRouteThrottle(
  time: TimeSource,
  random: () => number,
): RouteThrottle {
  const countsByRoute = new Map<string, RouteCounts>();

  function countsOf(route: ThrottledRoute): RouteCounts {
    const id = [route.service, route.routeName, route.classIndex].join(' ');
    let counts = countsByRoute.get(id);
    if (counts === undefined) {
      counts = createCounts(route.classIndex, time.monotonicMillis());
      countsByRoute.set(id, counts);
    }
    decay(counts, time.monotonicMillis());
    return counts;
  }

  /**
   * Whether a route of a more important class is being refused. What a probe
   * of this route found accepted, that one could have used.
   */
  function isMoreImportantRefused(classIndex: number): boolean {
    for (const counts of countsByRoute.values()) {
      if (counts.classIndex >= classIndex) continue;
      decay(counts, time.monotonicMillis());
      if (isRefused(counts)) return true;
    }
    return false;
  }

  return new (class extends RouteThrottle {
    override mayEnter(route: ThrottledRoute): boolean {
      const counts = countsOf(route);
      counts.requestedCount += 1;
      if (counts.refusedCount < FORGOTTEN_COUNT) return true;
      if (isRefused(counts) && isMoreImportantRefused(route.classIndex)) {
        return false;
      }
      return random() * counts.requestedCount < limitOf(counts);
    }
    override recordEnd(route: ThrottledRoute, isRefusedNow: boolean): void {
      const counts = countsOf(route);
      if (isRefusedNow) counts.refusedCount += 1;
      else counts.acceptedCount += 1;
    }
  })();
}

function createCounts(classIndex: number, nowMillis: number): RouteCounts {
  return {
    classIndex,
    requestedCount: 0,
    acceptedCount: 0,
    refusedCount: 0,
    decayedMillis: nowMillis,
  };
}

function isRefused({acceptedCount, refusedCount}: RouteCounts): boolean {
  const endedCount = acceptedCount + refusedCount;
  return refusedCount > Math.max(FORGOTTEN_COUNT, REFUSED_RATIO * endedCount);
}

/** Requests that may enter within one half-life. */
function limitOf(counts: RouteCounts): number {
  const factor = isRefused(counts)
    ? SENT_PER_ACCEPTED
    : SENT_PER_ACCEPTED_AFTERWARDS;
  return factor * counts.acceptedCount + MINIMUM_SENT_COUNT;
}

function decay(counts: RouteCounts, nowMillis: number): void {
  const elapsedMillis = nowMillis - counts.decayedMillis;
  if (elapsedMillis <= 0) return;
  const weight = 0.5 ** (elapsedMillis / HALF_LIFE_MILLIS);
  counts.requestedCount *= weight;
  counts.acceptedCount *= weight;
  counts.refusedCount *= weight;
  counts.decayedMillis = nowMillis;
}
