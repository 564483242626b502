/**
 * Host selection by load: the better of two hosts of the nearest usable zone.
 */
import type {TimeSource} from '../base/time_source.js';
import type {EjectionPolicy, TimingPolicy} from '../version/policy.js';
import type {FleetView, KnownHost} from './fleet_view.js';
import type {HostRecord} from './host_scores.js';
import {createHostRecord, isRefusing} from './host_scores.js';
import type {
  AttemptEnd,
  HostRoutingState,
  Selection,
  SelectionRequest,
} from './host_selector.js';
import {HostSelector} from './host_selector.js';
import type {Metrics} from './metrics.js';
import {createOutlierEjection} from './outlier_ejection.js';
import {createRefusalThrottle} from './refusal_throttle.js';
import type {Candidate} from './two_choices.js';
import {createTwoChoices} from './two_choices.js';

/** What the selector needs. */
export interface HostSelectorOptions {
  readonly fleet: FleetView;
  readonly ownZone: string;
  readonly ownRegion: string;
  /** Name of the host this node runs on. */
  readonly hostName: string;
  readonly time: TimeSource;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly metrics: Metrics;
}

/** In force until the first policy arrives. */
const INITIAL_EJECTION: EjectionPolicy = {
  consecutiveFailuresCount: 5,
  ejectionMillis: 5_000,
  floorRatio: 0.5,
};
const INITIAL_SLOW_START_MILLIS = 0;
const INITIAL_RETRY_AFTER_MINIMUM_MILLIS = 200;
const INITIAL_RETRY_AFTER_MAXIMUM_MILLIS = 5_000;

/** Creates a selector that has called no host yet. */
export function createHostSelector(options: HostSelectorOptions): HostSelector {
  const {fleet, ownZone, ownRegion, hostName, time, random, metrics} = options;
  const ejection = createOutlierEjection(time, INITIAL_EJECTION);
  const throttle = createRefusalThrottle(time, random);
  const choices = createTwoChoices({hostName, time, random});
  const records = new Map<string, HostRecord>();
  let prunedRevision = fleet.listRevision();
  let slowStartMillis = INITIAL_SLOW_START_MILLIS;
  let retryAfterMinimumMillis = INITIAL_RETRY_AFTER_MINIMUM_MILLIS;
  let retryAfterMaximumMillis = INITIAL_RETRY_AFTER_MAXIMUM_MILLIS;

  /** Forgets hosts that left the list, or their records would pile up. */
  function prune(): void {
    const revision = fleet.listRevision();
    if (revision === prunedRevision) return;
    prunedRevision = revision;
    for (const [name, record] of records) {
      if (record.outstandingCount > 0) continue;
      if (fleet.host(name) === undefined) records.delete(name);
    }
  }

  function recordOf(name: string): HostRecord {
    let record = records.get(name);
    if (record === undefined) {
      prune();
      record = createHostRecord();
      records.set(name, record);
    }
    return record;
  }

  /** 0 for the own zone, 1 for the own region, 2 beyond. */
  function distanceTo(known: KnownHost): number {
    if (known.host.availabilityZone === ownZone) return 0;
    return known.host.region === ownRegion ? 1 : 2;
  }

  /** Hosts of the service that take new work at all. */
  function candidatesOf(service: string): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const known of fleet.hostsOf(service)) {
      if (!known.acceptsNewWork) continue;
      const record = recordOf(known.host.name);
      if (!isLeavingByReport(record)) candidates.push({known, record});
    }
    return candidates;
  }

  /** A host that refuses even the first class is draining. */
  function isLeavingByReport(record: HostRecord): boolean {
    return (
      record.load?.refusedFromClassIndex === 0 &&
      isRefusing(record, 0, time.monotonicMillis())
    );
  }

  /**
   * Leaves out ejected hosts. If fewer than the floor stay, those whose
   * ejection ends first come back: when most hosts fail, the cause is unlikely
   * to be the hosts, and the few that are left would be overrun.
   */
  function withoutEjected(
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const inUse = candidates.filter(isInUse);
    const missingCount = ejection.floorCount(candidates.length) - inUse.length;
    if (inUse.length === candidates.length || missingCount <= 0) return inUse;
    const readmitted = candidates
      .filter(candidate => !isInUse(candidate))
      .sort(byEndOfEjection)
      .slice(0, missingCount);
    return [...inUse, ...readmitted];
  }

  /**
   * Whether the host counts as working. After an ejection one call at a time
   * finds out: a host that is still silent would otherwise take a whole burst
   * of calls with it at the end of each ejection.
   */
  function isInUse({record}: Candidate): boolean {
    if (ejection.isEjected(record.failures)) return false;
    return (
      record.outstandingCount === 0 || !ejection.isOnProbation(record.failures)
    );
  }

  function nearest(candidates: readonly Candidate[]): readonly Candidate[] {
    const distance = Math.min(
      ...candidates.map(({known}) => distanceTo(known)),
    );
    return candidates.filter(({known}) => distanceTo(known) === distance);
  }

  function select(request: SelectionRequest): Selection {
    const {service, classIndex, triedHostNames} = request;
    const isFirstAttempt = triedHostNames.size === 0;
    if (isFirstAttempt) throttle.recordRequest(service, classIndex);
    const untried = withoutEjected(candidatesOf(service)).filter(
      ({known}) => !triedHostNames.has(known.host.name),
    );
    if (untried.length === 0) return {kind: 'no-host'};
    const usable = nearest(untried);
    const nowMillis = time.monotonicMillis();
    const open = usable.filter(
      ({record}) => !isRefusing(record, classIndex, nowMillis),
    );
    if (open.length > 0) {
      return selected(choices.pick(open, slowStartMillis), classIndex);
    }
    // To refuse a request here that other services have worked on throws that
    // work away; its place in the host's queue decides by class instead.
    if (request.isStarted && isFirstAttempt) {
      return selected(choices.pick(usable, slowStartMillis), classIndex);
    }
    if (isFirstAttempt && throttle.mayPass(service, classIndex)) {
      return selected(choices.pick(usable, slowStartMillis), classIndex);
    }
    return allRefuse();
  }

  function selected(candidate: Candidate, classIndex: number): Selection {
    const {known, record} = candidate;
    const refusedFrom = record.load?.refusedFromClassIndex ?? Infinity;
    if (classIndex >= refusedFrom) record.probedMillis = time.monotonicMillis();
    return {kind: 'selected', host: known};
  }

  function allRefuse(): Selection {
    const rangeMillis = retryAfterMaximumMillis - retryAfterMinimumMillis;
    return {
      kind: 'all-refuse',
      retryAfterMillis: Math.round(
        retryAfterMinimumMillis + Math.max(0, rangeMillis) * random(),
      ),
    };
  }

  function recordVerdict(end: AttemptEnd, record: HostRecord): void {
    if (end.verdict === 'success') ejection.recordSuccess(record.failures);
    if (end.verdict === 'refused') ejection.recordSignOfLife(record.failures);
    if (end.verdict !== 'failed' && end.verdict !== 'silent') return;
    const isSilent = end.verdict === 'silent';
    if (ejection.recordFailure(record.failures, isSilent)) {
      metrics.increment('routing.ejected', {verdict: end.verdict});
    }
  }

  function recordAccepted(end: AttemptEnd): void {
    const service = fleet.host(end.hostName)?.host.service;
    if (service === undefined || end.verdict !== 'success') return;
    throttle.recordAccepted(service, end.classIndex);
  }

  return new (class extends HostSelector {
    override configure(policy: EjectionPolicy, timing: TimingPolicy): void {
      ejection.configure(policy);
      slowStartMillis = timing.slowStartMillis;
      retryAfterMinimumMillis = timing.retryAfterMinimumMillis;
      retryAfterMaximumMillis = timing.retryAfterMaximumMillis;
    }
    override select(request: SelectionRequest): Selection {
      const selection = select(request);
      metrics.increment('routing.selection', {kind: selection.kind});
      return selection;
    }
    override recordStart(name: string): void {
      recordOf(name).outstandingCount += 1;
    }
    override recordEnd(end: AttemptEnd): void {
      const record = recordOf(end.hostName);
      record.outstandingCount = Math.max(0, record.outstandingCount - 1);
      if (end.load !== undefined) {
        record.load = end.load;
        record.reportedMillis = time.monotonicMillis();
        record.outstandingAtReportCount = record.outstandingCount;
      }
      recordVerdict(end, record);
      recordAccepted(end);
    }
    override states(): readonly HostRoutingState[] {
      return [...records].map(([name, record]) => ({
        hostName: name,
        outstandingCount: record.outstandingCount,
        load: record.load,
        isEjected: ejection.isEjected(record.failures),
      }));
    }
  })();
}

function byEndOfEjection(a: Candidate, b: Candidate): number {
  return (
    a.record.failures.ejectedUntilMillis - b.record.failures.ejectedUntilMillis
  );
}
