/**
 * A node of a simulated fleet: the decision modules of the daemon, connected as in the
 * daemon.
 */
import type {AdmissionLevel} from '../../src/process/admission/admission_level.js';
import {
  createAdmissionLevel,
  LEVEL_WINDOW_MILLIS,
} from '../../src/process/admission/admission_level.js';
import type {CallTrees} from '../../src/process/admission/call_trees.js';
import {createCallTrees} from '../../src/process/admission/call_trees.js';
import type {CompletionThrottle} from '../../src/process/admission/completion_throttle.js';
import {createCompletionThrottle} from '../../src/process/admission/completion_throttle.js';
import type {EntryAdmission} from '../../src/process/admission/entry_admission.js';
import {createEntryAdmission} from '../../src/process/admission/entry_admission.js';
import type {
  LoadTable,
  LoadReport,
} from '../../src/process/admission/load_table.js';
import {createLoadTable} from '../../src/process/admission/load_table.js';
import type {LoadPoller} from '../../src/process/admission/load_poller.js';
import {createLoadPoller} from '../../src/process/admission/load_poller.js';
import type {PlacementChooser} from '../../src/process/placement/placement.js';
import {createPlacementChooser} from '../../src/process/placement/placement.js';
import type {RejectionRate} from '../../src/process/admission/rejection_rate.js';
import {
  createRejectionRate,
  isRejecting,
} from '../../src/process/admission/rejection_rate.js';
import {createAnnouncedLimit} from '../../src/process/admission/announced_limit.js';
import {createDispatchPacer} from '../../src/process/admission/dispatch_pacer.js';
import type {AttemptTimeouts} from '../../src/process/retries/attempt_timeouts.js';
import {createAttemptTimeouts} from '../../src/process/retries/attempt_timeouts.js';
import type {RelativeSlowness} from '../../src/process/placement/relative_slowness.js';
import {createRelativeSlowness} from '../../src/process/placement/relative_slowness.js';
import type {RetryBudget} from '../../src/process/retries/retry_budget.js';
import {createRetryBudget} from '../../src/process/retries/retry_budget.js';
import {createUpstreamDirectory} from '../../src/process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../../src/process/membership/upstream_entry.js';
import type {UpstreamQueue} from '../../src/process/admission/upstream_queue.js';
import {createUpstreamQueue} from '../../src/process/admission/upstream_queue.js';
import type {AnnouncedPeriod, SimulatedService} from './fleet_load.js';
import {upstreamEntry} from './route_documents.js';
import type {SimulatedProcessor} from './simulated_processor.js';
import {createSimulatedProcessor} from './simulated_processor.js';

interface SimulatedNodeOptions {
  readonly own: UpstreamEntry;
  /** Milliseconds of work that the upstream does in a millisecond. */
  readonly speed: number;
  /** Ratio of dispatched requests that the upstream rejects immediately. */
  readonly rejectRatio: number;
  readonly rejectFromMillis: number;
  readonly announcedPeriod: AnnouncedPeriod | undefined;
  /** All upstreams of the fleet. */
  readonly entries: readonly UpstreamEntry[];
  readonly nowMillis: () => number;
  readonly schedule: (delayMillis: number, callback: () => void) => void;
  readonly random: () => number;
  /** Processor time for one message. */
  readonly messageMillis: number;
}

/** A node and its upstream. */
export interface SimulatedNode {
  readonly own: UpstreamEntry;
  readonly speed: number;
  readonly processor: SimulatedProcessor;
  /** Ratio of dispatched requests that the upstream rejects at this time. */
  currentRejectRatio(): number;
  /** Records a response of the upstream to a request sent at this time. */
  recordResponse(sentMillis: number): void;
  readonly budget: RetryBudget;
  readonly queue: UpstreamQueue;
  readonly level: AdmissionLevel;
  readonly rejections: RejectionRate;
  readonly slowness: RelativeSlowness;
  readonly attemptTimeouts: AttemptTimeouts;
  readonly loadTable: LoadTable;
  readonly trees: CallTrees;
  readonly entryAdmission: EntryAdmission;
  readonly completionThrottle: CompletionThrottle;
  readonly loadPoller: LoadPoller;
  readonly placement: PlacementChooser;
  /** Returns the load of the local upstream, which is also recorded in the load table. */
  ownLoad(): LoadReport;
  /** Ends a window and updates the admission level. */
  updateLevel(): void;
  /** Returns the loads to report with a response to this sender. */
  loadsFor(senderId: string): readonly LoadReport[];
  /** Returns the loads to report in response to a poll. */
  loads(): readonly LoadReport[];
}

/** Interval at which responses to one sender include other upstreams' loads, as in the daemon. */
const REPORT_MILLIS = 100;
const REPORTED_LOADS_COUNT = 6;

/** Limit on the retries that a service receives from the whole fleet. */
const RETRY_BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 50};

/** Creates a node with all upstreams in its directory and without load reports. */
function createSimulatedNode(options: SimulatedNodeOptions): SimulatedNode {
  const {own, speed, rejectRatio, entries, nowMillis, random} = options;
  const limit = createAnnouncedLimit(nowMillis);
  const pacer = createDispatchPacer({
    limitPerSecond: () => limit.perSecond,
    nowMillis,
  });
  const queue = createUpstreamQueue(nowMillis, {
    pacer,
    schedule: options.schedule,
  });
  queue.setSlots(own.slotsCount);
  const processor = createSimulatedProcessor(options, options.messageMillis);
  const level = createAdmissionLevel();
  const loadTable = createLoadTable(nowMillis);
  const trees = createCallTrees();
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  directory.put(entries);
  const entryAdmission = createEntryAdmission(loadTable, () => true);
  const placement = createPlacementChooser({
    directory,
    loadTable,
    hostKey: own.hostKey,
    zone: own.zone,
    region: own.region,
    nowMillis,
    random,
  });
  const budget = createRetryBudget({
    bound: () => RETRY_BOUND,
    nowMillis,
    nodesCount: () => entries.length,
  });
  const rejections = createRejectionRate(nowMillis);
  const slowness = createRelativeSlowness();
  const reportedMillis = new Map<string, number>();
  const ownRejections = (): Pick<LoadReport, 'rejections'> => {
    const current = rejections.current();
    const others = loadTable.serviceLoadOf(own.service);
    return isRejecting(current) || others?.isRejecting
      ? {rejections: current}
      : {};
  };
  const ownLoad = (): LoadReport => {
    const report = {
      ...queue.load(),
      upstreamId: own.id,
      service: own.service,
      level: level.level(),
      madeAtMillis: nowMillis(),
      slownessRatio: slowness.ratio(),
      ...ownRejections(),
    };
    loadTable.observe(report);
    return report;
  };
  const updateLevel = (): void => {
    ownLoad();
    const service = loadTable.serviceLoadOf(own.service);
    level.update({
      ...queue.load(),
      windowMillis: LEVEL_WINDOW_MILLIS,
      service,
    });
    loadTable.expire();
  };
  const loadsFor = (senderId: string): readonly LoadReport[] => {
    const last = reportedMillis.get(senderId) ?? -Infinity;
    if (nowMillis() - last < REPORT_MILLIS) return [ownLoad()];
    reportedMillis.set(senderId, nowMillis());
    return loads();
  };
  const loads = (): readonly LoadReport[] => {
    const ownReport = ownLoad();
    const others = loadTable
      .shedding()
      .filter(report => report.upstreamId !== own.id);
    return [ownReport, ...others.slice(0, REPORTED_LOADS_COUNT)];
  };
  const announcedPerSecond = (): number | undefined => {
    const {announcedPeriod} = options;
    if (announcedPeriod === undefined) return undefined;
    const {fromMillis, untilMillis, perSecond} = announcedPeriod;
    const now = nowMillis();
    return now >= fromMillis && now < untilMillis ? perSecond : undefined;
  };
  return {
    own,
    speed,
    processor,
    recordResponse: sentMillis => {
      pacer.recordResponse();
      limit.observe(announcedPerSecond(), sentMillis);
    },
    currentRejectRatio: () =>
      nowMillis() < options.rejectFromMillis ? 0 : rejectRatio,
    budget,
    queue,
    level,
    rejections,
    slowness,
    attemptTimeouts: createAttemptTimeouts(),
    loadTable,
    trees,
    entryAdmission,
    completionThrottle: createCompletionThrottle(nowMillis),
    loadPoller: createLoadPoller({
      loadTable,
      ownUpstreamId: () => own.id,
      nowMillis,
    }),
    placement,
    ownLoad,
    updateLevel,
    loadsFor,
    loads,
  };
}

/** Creates one node for each upstream of a fleet. */
export function createSimulatedNodes(
  services: readonly SimulatedService[],
  clock: Pick<
    SimulatedNodeOptions,
    'nowMillis' | 'random' | 'schedule' | 'messageMillis'
  >,
): readonly SimulatedNode[] {
  const entries = entriesOf(services);
  const speeds = services.flatMap(service => service.speeds);
  const rejectRatios = services.flatMap(service =>
    service.speeds.map((_, index) => service.rejectRatios?.[index] ?? 0),
  );
  const announcedPeriods = services.flatMap(service =>
    service.speeds.map((_, index) => service.limits?.[index]),
  );
  const rejectFromMillis = services.flatMap(service =>
    service.speeds.map(() => service.rejectFromMillis ?? 0),
  );
  return entries.map((own, index) =>
    createSimulatedNode({
      own,
      speed: speeds[index] ?? 1,
      rejectRatio: rejectRatios[index] ?? 0,
      rejectFromMillis: rejectFromMillis[index] ?? 0,
      announcedPeriod: announcedPeriods[index],
      entries,
      ...clock,
    }),
  );
}

function entriesOf(services: readonly SimulatedService[]): UpstreamEntry[] {
  return services.flatMap(({name, slotsCount, speeds}, service) =>
    speeds.map((_, index) =>
      upstreamEntry({
        id: `${name}-${index}`,
        service: name,
        hostKey: `10.${service}.0.${index}:80`,
        node: {address: `10.${service}.0.${index}`, port: 90},
        slotsCount,
      }),
    ),
  );
}
