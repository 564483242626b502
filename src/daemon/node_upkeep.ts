/**
 * What a node does at intervals: moves its level, forgets what has aged, and
 * sums up its state for operators.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {LEVEL_WINDOW_MILLIS} from '../process/admission/admission_level.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {NodeDecisions} from './node_decisions.js';

/** What upkeep needs. */
export interface NodeUpkeepOptions {
  readonly decisions: NodeDecisions;
  readonly service: () => string;
  readonly busyCount: () => number;
  /** Asks about loads that are heard of no more. */
  readonly askLoads: () => void;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
}

/** Interval of the line that sums up the state of the node. */
const STATUS_MILLIS = 5000;

/** Interval at which aged records are dropped; the shortest lives 2 s. */
const EXPIRE_MILLIS = 500;

/** Starts the upkeep of a node. */
export function startNodeUpkeep(options: NodeUpkeepOptions): Disposable {
  const store = createDisposableStore();
  const add = (intervalMillis: number, onTick: () => void): void => {
    store.add(createIntervalTimer(intervalMillis, onTick));
  };
  add(LEVEL_WINDOW_MILLIS, () => {
    moveLevel(options);
    options.askLoads();
  });
  add(EXPIRE_MILLIS, () => {
    expireRecords(options);
  });
  add(STATUS_MILLIS, () => {
    writeStatus(options);
  });
  return store;
}

function moveLevel(options: NodeUpkeepOptions): void {
  const {level, queue, board} = options.decisions;
  const before = level.level();
  level.update({
    ...queue.load(),
    windowMillis: LEVEL_WINDOW_MILLIS,
    service: board.serviceLoadOf(options.service()),
  });
  const after = level.level();
  if (before === after) return;
  options.log.request('level-changed', {before, after, ...queue.load()});
}

function expireRecords(options: NodeUpkeepOptions): void {
  const {metrics, decisions} = options;
  const {directory, placement, board, queue, level} = decisions;
  directory.expire();
  placement.expire();
  board.expire();
  metrics.setGauge('queue_length', queue.load().queuedCount);
  metrics.setGauge('in_flight', queue.load().inFlightCount);
  metrics.setGauge('admission_level', level.level());
  metrics.setGauge('known_upstreams', directory.count());
  metrics.setGauge('configuration_version', decisions.configurationVersion());
}

function writeStatus(options: NodeUpkeepOptions): void {
  const {queue, level, directory, budget, configurationVersion} =
    options.decisions;
  options.log.state('status', {
    ...queue.load(),
    admissionLevel: level.level(),
    busyCount: options.busyCount(),
    upstreamsCount: directory.count(),
    configurationVersion: configurationVersion(),
    repeatBudget: JSON.stringify(budget.use()),
    storeCalls: JSON.stringify(options.metrics.storeCalls()),
  });
}
