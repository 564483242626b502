/**
 * Chooses the upstream that a request is sent to.
 *
 * Load pattern: the upstreams of a service differ in speed, some become slow or
 * fail part of their requests, and some have just started. The upstream with
 * the lowest expected response time is chosen, based on the last report of its
 * node and on the requests that this node has sent there since. Distance counts
 * as time, so that requests stay in their zone unless another one serves them
 * sooner.
 */
import type {LoadTable, LoadReport} from '../admission/load_table.js';
import {createProbeLimiter} from './probe_limiter.js';
import type {UpstreamEntry} from '../membership/upstream_entry.js';
import type {UpstreamDirectory} from '../membership/upstream_directory.js';
import type {KnownUpstream} from '../membership/known_upstream.js';
import type {AttemptOutcome, UpstreamStats} from './upstream_stats.js';
import {recordAttemptOutcome} from './upstream_stats.js';
import {isSameStart} from '../membership/upstream_start.js';
import type {PlacementGoal} from './upstream_score.js';
import {upstreamScore} from './upstream_score.js';

/** An upstream chosen for one attempt. */
export interface Placement {
  readonly upstream: KnownUpstream;
  /** Must be called once when the attempt has ended. */
  end(outcome: AttemptOutcome): void;
}

/** Chooses upstreams for the requests of one node. */
export interface PlacementChooser {
  /**
   * Returns an upstream of the service other than the excluded ones, `undefined`
   * if there is none. Lost and recently unreachable upstreams are used only if
   * there is no other.
   */
  choose(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost?: (entry: UpstreamEntry) => boolean,
    goal?: PlacementGoal,
  ): Placement | undefined;
  /**
   * Whether there is an upstream other than the excluded ones that is not known
   * to be unreachable. Abandoning an attempt for an unreachable upstream would
   * leave the request without any upstream working on it, and it would fail.
   */
  hasAlternative(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost?: (entry: UpstreamEntry) => boolean,
  ): boolean;
  /**
   * Like `hasAlternative`, but an upstream that failed before counts again once
   * it may be retried.
   */
  hasReachableAlternative(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost: (entry: UpstreamEntry) => boolean,
  ): boolean;
  /** Removes the statistics of upstreams that are no longer known. */
  expire(): void;
}

/** Dependencies of a placement chooser. */
export interface PlacementOptions {
  readonly directory: UpstreamDirectory;
  readonly loadTable: LoadTable;
  readonly hostKey: string;
  readonly zone: string;
  readonly region: string;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Service time assumed until a node has reported on the service. */
const UNKNOWN_AVERAGE_MILLIS = 50;

/**
 * Time without requests from this node after which an upstream may be probed:
 * otherwise outdated or missing measurements would never be corrected.
 */
const PROBE_AFTER_MILLIS = 1500;

/**
 * Age from which a load report says little about the present: a queue drains in
 * less.
 */
const MAX_REPORT_AGE_MILLIS = 1000;

/** Creates a chooser without any statistics. */
export function createPlacementChooser(
  options: PlacementOptions,
): PlacementChooser {
  const {directory, loadTable, nowMillis, random} = options;
  const statsById = new Map<string, UpstreamStats>();
  const probeLimiter = createProbeLimiter(nowMillis);

  const statsOf = (upstream: KnownUpstream): UpstreamStats => {
    const {entry} = upstream;
    const known = statsById.get(entry.id);
    if (known !== undefined && isSameStart(known.start, entry)) return known;
    const created: UpstreamStats = {
      start: entry,
      ownInFlightCount: 0,
      averageMillis: undefined,
      slownessRatio: undefined,
      lastSentMillis: upstream.firstSeenMillis - PROBE_AFTER_MILLIS * random(),
      failedRatio: 0,
      failuresInARow: 0,
      avoidUntilMillis: 0,
    };
    statsById.set(entry.id, created);
    return created;
  };

  /**
   * An upstream without statistics is assumed to be as fast as its service. If
   * it were assumed to be faster, one that is too slow to respond at all would
   * get every request.
   */
  const serviceMillis = ({entry}: KnownUpstream): number =>
    loadTable.serviceLoadOf(entry.service)?.averageMillis ??
    UNKNOWN_AVERAGE_MILLIS;

  const score = (
    upstream: KnownUpstream,
    now: number,
    goal: PlacementGoal | undefined,
  ): number => {
    const stats = statsOf(upstream);
    const report = loadTable.find(upstream.entry.id);
    stats.averageMillis = report?.averageMillis ?? stats.averageMillis;
    stats.slownessRatio = report?.slownessRatio ?? stats.slownessRatio;
    return upstreamScore(options, {
      upstream,
      stats,
      report,
      averageMillis: stats.averageMillis ?? serviceMillis(upstream),
      goal,
      noise: random(),
      now,
    });
  };

  /**
   * Picks a random upstream without recent requests: nodes that share a list
   * would otherwise all probe its first upstream at the same moment, and never
   * its last.
   */
  const pickProbe = (
    candidates: readonly KnownUpstream[],
    now: number,
  ): KnownUpstream | undefined => {
    const idle = candidates.filter(
      candidate =>
        statsOf(candidate).lastSentMillis + PROBE_AFTER_MILLIS < now &&
        !hasRecentQueue(loadTable.find(candidate.entry.id), now),
    );
    return idle[Math.floor(random() * idle.length)];
  };

  const pickBest = (
    candidates: readonly KnownUpstream[],
    now: number,
    goal: PlacementGoal | undefined,
  ): KnownUpstream | undefined => {
    let best: KnownUpstream | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const candidateScore = score(candidate, now, goal);
      if (candidateScore >= bestScore) continue;
      best = candidate;
      bestScore = candidateScore;
    }
    return best;
  };

  /**
   * A retry is never used as a probe: after an attempt that timed out at a
   * partitioned upstream, the probe would time out at the next one.
   */
  const pick = (
    service: string,
    isRetry: boolean,
    candidates: readonly KnownUpstream[],
    now: number,
    goal: PlacementGoal | undefined,
  ): KnownUpstream | undefined => {
    const isDue = !isRetry && probeLimiter.mayProbe(service);
    const probe = isDue ? pickProbe(candidates, now) : undefined;
    if (probe === undefined) return pickBest(candidates, now, goal);
    probeLimiter.recordProbe(service);
    return probe;
  };

  const canReach = (
    upstream: KnownUpstream,
    isLost: (entry: UpstreamEntry) => boolean,
    now: number,
  ): boolean =>
    statsOf(upstream).avoidUntilMillis <= now && !isLost(upstream.entry);

  return {
    choose: (service, excludedIds, isLost = () => false, goal) => {
      const now = nowMillis();
      const ready = directory.listReady(service);
      const allowed =
        excludedIds.size === 0
          ? ready
          : ready.filter(upstream => !excludedIds.has(upstream.entry.id));
      const usable = allowed.filter(upstream =>
        canReach(upstream, isLost, now),
      );
      const chosen = pick(
        service,
        excludedIds.size > 0,
        usable.length > 0 ? usable : allowed,
        now,
        goal,
      );
      if (chosen === undefined) return undefined;
      return openPlacement(chosen, statsOf(chosen), nowMillis);
    },
    hasAlternative: (service, excludedIds, isLost = () => false) =>
      directory
        .listReady(service)
        .some(
          upstream =>
            !excludedIds.has(upstream.entry.id) &&
            statsOf(upstream).failuresInARow === 0 &&
            !isLost(upstream.entry),
        ),
    hasReachableAlternative: (service, excludedIds, isLost) => {
      const now = nowMillis();
      return directory
        .listReady(service)
        .some(
          upstream =>
            !excludedIds.has(upstream.entry.id) &&
            canReach(upstream, isLost, now),
        );
    },
    expire: () => {
      for (const id of statsById.keys()) {
        if (directory.find(id) === undefined) statsById.delete(id);
      }
    },
  };
}

/**
 * Whether a recent report shows a queue. A probe would only confirm it, and a
 * request with little time to wait would be rejected for it.
 */
function hasRecentQueue(report: LoadReport | undefined, now: number): boolean {
  if (report === undefined) return false;
  return (
    report.queuedCount > 0 && report.madeAtMillis + MAX_REPORT_AGE_MILLIS > now
  );
}

function openPlacement(
  upstream: KnownUpstream,
  stats: UpstreamStats,
  nowMillis: () => number,
): Placement {
  let isOpen = true;
  stats.ownInFlightCount += 1;
  stats.lastSentMillis = nowMillis();
  return {
    upstream,
    end: outcome => {
      if (!isOpen) return;
      isOpen = false;
      stats.ownInFlightCount -= 1;
      recordAttemptOutcome(stats, outcome, nowMillis());
    },
  };
}
