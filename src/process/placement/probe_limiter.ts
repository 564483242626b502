/**
 * Limits the requests that are sent to an upstream only to measure it.
 *
 * Load pattern: a service has more upstreams than one node sends requests in
 * the time after which a measurement counts as outdated. Without a limit, every
 * request becomes a probe: none goes where it is served best, two thirds leave
 * their zone, and a slow upstream gets as many as a fast one.
 */

/** Probe limits of one node, one for each service. */
export interface ProbeLimiter {
  /** Counts a choice for a service and returns whether it may be a probe. */
  mayProbe(service: string): boolean;
  /** Records that a probe was sent. */
  recordProbe(service: string): void;
}

interface ProbeCounter {
  choicesCount: number;
  lastProbeMillis: number;
}

/**
 * One in so many requests of a busy node is a probe: the slowest upstream then
 * costs at most a tenth of what it would cost with a fair share of the
 * requests.
 */
const CHOICES_PER_PROBE_COUNT = 10;

/** Interval after which a node with few requests sends a probe nevertheless. */
const PROBE_INTERVAL_MILLIS = 1500;

/**
 * Creates probe limits; a first probe is due an interval after the first
 * choice.
 */
export function createProbeLimiter(nowMillis: () => number): ProbeLimiter {
  const counters = new Map<string, ProbeCounter>();

  const counterOf = (service: string): ProbeCounter => {
    const known = counters.get(service);
    if (known !== undefined) return known;
    const created = {choicesCount: 0, lastProbeMillis: nowMillis()};
    counters.set(service, created);
    return created;
  };

  return {
    mayProbe: service => {
      const counter = counterOf(service);
      counter.choicesCount += 1;
      if (counter.choicesCount >= CHOICES_PER_PROBE_COUNT) return true;
      return nowMillis() - counter.lastProbeMillis >= PROBE_INTERVAL_MILLIS;
    },
    recordProbe: service => {
      const counter = counterOf(service);
      counter.choicesCount = 0;
      counter.lastProbeMillis = nowMillis();
    },
  };
}
