/**
 * Periodic tasks of a node: updates the admission level, removes expired records, and
 * logs a status line for operators.
 */
import type {EventLoopLoad} from '../base/event_loop_load.js';
import {createEventLoopMeter} from '../base/event_loop_load.js';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {LEVEL_WINDOW_MILLIS} from '../process/admission/admission_level.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {NodeComponents} from './node_components.js';

/** Dependencies of the periodic tasks. */
export interface NodeMaintenanceOptions {
  readonly components: NodeComponents;
  readonly service: () => string;
  readonly busyCount: () => number;
  /** Queries loads without recent reports. */
  readonly pollLoads: () => void;
  /**
   * Age of the knowledge of the published documents; `Infinity` if it is not
   * tracked.
   */
  readonly documentsAgeMillis: () => number;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
}

/** Interval of the status line. */
const STATUS_INTERVAL_MILLIS = 5000;

/**
 * Interval at which expired records are removed. The shortest bound on a removal is 2 s,
 * for an upstream entry; its grace period is shorter by at least this interval.
 */
const EXPIRE_INTERVAL_MILLIS = 500;

/** Starts the periodic tasks of a node. */
export function startNodeMaintenance(
  options: NodeMaintenanceOptions,
): Disposable {
  const store = createDisposableStore();
  const add = (intervalMillis: number, onTick: () => void): void => {
    store.add(createIntervalTimer(intervalMillis, onTick));
  };
  const meter = createEventLoopMeter(LEVEL_WINDOW_MILLIS, options.nowMillis);
  let eventLoop: EventLoopLoad = {busyRatio: 0, delayMillis: 0};
  add(LEVEL_WINDOW_MILLIS, () => {
    eventLoop = meter.sample();
    updateLevel(options, eventLoop);
    options.pollLoads();
  });
  add(EXPIRE_INTERVAL_MILLIS, () => {
    expireRecords(options);
    options.metrics.setGauge('event_loop_busy_ratio', eventLoop.busyRatio);
  });
  add(STATUS_INTERVAL_MILLIS, () => {
    logStatus(options, eventLoop);
  });
  return store;
}

function updateLevel(
  options: NodeMaintenanceOptions,
  eventLoop: EventLoopLoad,
): void {
  const {level, queue, loadTable} = options.components;
  const before = level.level();
  level.update({
    ...queue.load(),
    windowMillis: LEVEL_WINDOW_MILLIS,
    service: loadTable.serviceLoadOf(options.service()),
  });
  const after = level.level();
  if (before === after) return;
  options.log.logRequestEvent('level-changed', {
    before,
    after,
    ...queue.load(),
    ...eventLoopFields(eventLoop),
  });
}

function eventLoopFields({busyRatio, delayMillis}: EventLoopLoad): {
  readonly eventLoopBusyRatio: number;
  readonly eventLoopDelayMillis: number;
} {
  return {
    eventLoopBusyRatio: Number(busyRatio.toFixed(3)),
    eventLoopDelayMillis: Math.round(delayMillis),
  };
}

function expireRecords(options: NodeMaintenanceOptions): void {
  const {metrics, components} = options;
  const {directory, placement, loadTable, queue, level} = components;
  directory.removeExpired();
  placement.expire();
  loadTable.expire();
  metrics.setGauge('queue_length', queue.load().queuedCount);
  metrics.setGauge('in_flight', queue.load().inFlightCount);
  metrics.setGauge('admission_level', level.level());
  metrics.setGauge('known_upstreams', directory.count());
  const documentsAgeMillis = options.documentsAgeMillis();
  if (Number.isFinite(documentsAgeMillis)) {
    metrics.setGauge('documents_age_millis', documentsAgeMillis);
  }
  metrics.setGauge('configuration_version', components.configurationVersion());
}

function logStatus(
  options: NodeMaintenanceOptions,
  eventLoop: EventLoopLoad,
): void {
  const {queue, level, directory, budget, configurationVersion} =
    options.components;
  options.log.logStateEvent('status', {
    ...queue.load(),
    ...eventLoopFields(eventLoop),
    admissionLevel: level.level(),
    busyCount: options.busyCount(),
    upstreamsCount: directory.count(),
    configurationVersion: configurationVersion(),
    repeatBudget: JSON.stringify(budget.usage()),
    storeCalls: JSON.stringify(options.metrics.storeCalls()),
  });
}
