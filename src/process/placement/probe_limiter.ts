/**
 * Rations the requests that are sent somewhere only to learn about it.
 *
 * Load pattern: a service has more upstreams than one node sends requests in
 * the time after which its picture of an upstream counts as old. Without a
 * ration every request is then sent to learn: none goes where it is served
 * best, two thirds leave their zone, and a slow upstream gets as many as a fast
 * one.
 */

/** Rations of one node, one for each service. */
export interface ProbeLimiter {
  /** Counts a choice for a service and returns whether it may be a probe. */
  mayProbe(service: string): boolean;
  /** A probe was sent. */
  recordProbe(service: string): void;
}

interface Ration {
  choicesCount: number;
  takenMillis: number;
}

/**
 * Of a busy node one request in so many is a probe: what the slowest upstream
 * costs is then at most a tenth of what it would cost a fair share.
 */
const CHOICES_PER_PROBE_COUNT = 10;

/** A node with few requests probes at this interval all the same. */
const PROBE_INTERVAL_MILLIS = 1500;

/** Creates rations; each is first due an interval after its first choice. */
export function createProbeLimiter(nowMillis: () => number): ProbeLimiter {
  const rations = new Map<string, Ration>();

  const rationOf = (service: string): Ration => {
    const known = rations.get(service);
    if (known !== undefined) return known;
    const created = {choicesCount: 0, takenMillis: nowMillis()};
    rations.set(service, created);
    return created;
  };

  return {
    mayProbe: service => {
      const ration = rationOf(service);
      ration.choicesCount += 1;
      if (ration.choicesCount >= CHOICES_PER_PROBE_COUNT) return true;
      return nowMillis() - ration.takenMillis >= PROBE_INTERVAL_MILLIS;
    },
    recordProbe: service => {
      const ration = rationOf(service);
      ration.choicesCount = 0;
      ration.takenMillis = nowMillis();
    },
  };
}
