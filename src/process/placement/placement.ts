/**
 * Chooses the upstream that a request is sent to.
 *
 * Load pattern: upstreams of one service differ in speed, some turn slow or
 * fail part of their requests, some have just started. The choice is the one
 * that is expected to answer first, by what its node reported last and what
 * this node has sent there since; distance counts as time, so that requests
 * stay in their zone unless another one serves them sooner.
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
  end(how: AttemptOutcome): void;
}

/** Chooses upstreams. */
export interface PlacementChooser {
  choose(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost?: (entry: UpstreamEntry) => boolean,
    goal?: PlacementGoal,
  ): Placement | undefined;
  /**
   * Whether there is an upstream beside the excluded ones that is not known to
   * be out of reach: an attempt given up for such a one leaves the request with
   * no upstream at work on it, and it fails.
   */
  hasAlternative(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost?: (entry: UpstreamEntry) => boolean,
  ): boolean;
  /** The same, where one that failed before may be tried again by now. */
  hasReachableAlternative(
    service: string,
    excludedIds: ReadonlySet<string>,
    isLost: (entry: UpstreamEntry) => boolean,
  ): boolean;
  /** Forgets upstreams that are no longer known. */
  expire(): void;
}

/** What a chooser needs. */
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

/** Service time assumed while no node has reported on the service. */
const UNKNOWN_AVERAGE_MILLIS = 50;

/**
 * An upstream that this node has sent nothing for this long may get a probe:
 * otherwise a slow past, or no past at all, would never be corrected.
 */
const PROBE_MILLIS = 1500;

/** A load reported longer ago says little about now: a queue drains in less. */
const KNOWN_LOAD_MILLIS = 1000;

/** Creates a chooser without history. */
export function createPlacementChooser(
  options: PlacementOptions,
): PlacementChooser {
  const {directory, loadTable, nowMillis, random} = options;
  const records = new Map<string, UpstreamStats>();
  const ration = createProbeLimiter(nowMillis);

  const recordOf = (upstream: KnownUpstream): UpstreamStats => {
    const {entry} = upstream;
    const known = records.get(entry.id);
    if (known !== undefined && isSameStart(known.start, entry)) return known;
    const created: UpstreamStats = {
      start: entry,
      ownInFlightCount: 0,
      averageMillis: undefined,
      slownessRatio: undefined,
      lastSentMillis: upstream.firstSeenMillis - PROBE_MILLIS * random(),
      failedRatio: 0,
      failuresInARow: 0,
      avoidUntilMillis: 0,
    };
    records.set(entry.id, created);
    return created;
  };

  /**
   * What nothing is known of is taken to be as fast as its service. Taken to be
   * faster, one that is too slow to answer at all would get every request.
   */
  const serviceMillis = ({entry}: KnownUpstream): number =>
    loadTable.serviceLoadOf(entry.service)?.averageMillis ??
    UNKNOWN_AVERAGE_MILLIS;

  const score = (
    upstream: KnownUpstream,
    now: number,
    goal: PlacementGoal | undefined,
  ): number => {
    const stats = recordOf(upstream);
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
   * Any that has been left alone: nodes that share a list would otherwise all
   * probe the first in it at the same moment, and never the last.
   */
  const pickProbe = (
    candidates: readonly KnownUpstream[],
    now: number,
  ): KnownUpstream | undefined => {
    const left = candidates.filter(
      candidate =>
        recordOf(candidate).lastSentMillis + PROBE_MILLIS < now &&
        !isKnownFull(loadTable.find(candidate.entry.id), now),
    );
    return left[Math.floor(random() * left.length)];
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
   * A repeat is no probe: one that has just waited in vain for an upstream that
   * is cut off would wait in vain for the next.
   */
  const pick = (
    service: string,
    isRepeat: boolean,
    candidates: readonly KnownUpstream[],
    now: number,
    goal: PlacementGoal | undefined,
  ): KnownUpstream | undefined => {
    const isDue = !isRepeat && ration.mayProbe(service);
    const probed = isDue ? pickProbe(candidates, now) : undefined;
    if (probed === undefined) return pickBest(candidates, now, goal);
    ration.recordProbe(service);
    return probed;
  };

  const canReach = (
    upstream: KnownUpstream,
    isLost: (entry: UpstreamEntry) => boolean,
    now: number,
  ): boolean =>
    recordOf(upstream).avoidUntilMillis <= now && !isLost(upstream.entry);

  return {
    choose: (service, excludedIds, isLost = () => false, goal) => {
      const now = nowMillis();
      const allowed = directory
        .listReady(service)
        .filter(upstream => !excludedIds.has(upstream.entry.id));
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
      return openPlacement(chosen, recordOf(chosen), nowMillis);
    },
    hasAlternative: (service, excludedIds, isLost = () => false) =>
      directory
        .listReady(service)
        .some(
          upstream =>
            !excludedIds.has(upstream.entry.id) &&
            recordOf(upstream).failuresInARow === 0 &&
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
      for (const id of records.keys()) {
        if (directory.find(id) === undefined) records.delete(id);
      }
    },
  };
}

/**
 * Heard a moment ago to have a queue: a probe would learn nothing but that, and
 * a request with little time to wait would be refused for it.
 */
function isKnownFull(report: LoadReport | undefined, now: number): boolean {
  if (report === undefined) return false;
  return (
    report.queuedCount > 0 && report.madeAtMillis + KNOWN_LOAD_MILLIS > now
  );
}

function openPlacement(
  upstream: KnownUpstream,
  record: UpstreamStats,
  nowMillis: () => number,
): Placement {
  let isOpen = true;
  record.ownInFlightCount += 1;
  record.lastSentMillis = nowMillis();
  return {
    upstream,
    end: how => {
      if (!isOpen) return;
      isOpen = false;
      record.ownInFlightCount -= 1;
      recordAttemptOutcome(record, how, nowMillis());
    },
  };
}
