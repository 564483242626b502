/**
 * The counts that conditions of a scenario compare.
 */
import type {Execution} from '../../src/emulator/execution_record.js';
import {callTargetKey} from '../../src/emulator/execution_record.js';
import type {Fleet} from '../../src/emulator/fleet_launcher.js';
import type {Condition, HostRef, HostsRef, Measure} from './scenario_ast.js';
import type {ScenarioRequests, CompletedRequest} from './scenario_requests.js';
import type {VersionMonitor} from './version_monitor.js';

/** Sources of the counts. */
export interface MeasureSources {
  readonly fleet: Fleet;
  readonly requests: ScenarioRequests;
  readonly versions: VersionMonitor;
  readonly exitCodes: ReadonlyMap<string, number>;
  resolveHost(ref: HostRef): string;
  resolveHosts(ref: HostsRef): readonly string[];
  /** Hosts whose daemon should be running and is not frozen. */
  runningHosts(zone?: string): readonly string[];
}

/** An execution with the service of its upstream. */
interface ServiceExecution extends Execution {
  readonly service: string;
}

/** Exit code reported for a daemon that has not been stopped. */
const NOT_STOPPED = -1;

/** Evaluates a measure; throws for a group that no statement used. */
export async function evaluateMeasure(
  sources: MeasureSources,
  measure: Measure,
): Promise<number> {
  const {fleet, requests} = sources;
  switch (measure.kind) {
    case 'results':
      return countResults(
        requests.group(measure.group).completed,
        measure.result,
      );
    case 'status':
      return requests
        .group(measure.group)
        .completed.filter(
          ({result}) => result.statusCode === measure.statusCode,
        ).length;
    case 'reason':
      return requests
        .group(measure.group)
        .completed.filter(({result}) => result.reason === measure.reason)
        .length;
    case 'maximum-retries':
      return Math.max(
        0,
        ...requests
          .group(measure.group)
          .completed.map(({result}) => result.retriesSpentCount),
      );
    case 'executions': {
      const counts = await countByRequest(sources, measure);
      return [...counts.values()].reduce((sum, count) => sum + count, 0);
    }
    case 'maximum-executions': {
      const counts = await countByRequest(sources, measure);
      return Math.max(0, ...counts.values());
    }
    case 'unanswered-executions': {
      const counts = await countByRequest(sources, measure);
      for (const {name, result} of requests.group(measure.group).completed) {
        if (result.kind === 'answered') counts.delete(name);
      }
      return [...counts.values()].filter(count => count > 0).length;
    }
    case 'maximum-repeats':
      return maximumRetries(sources, measure.group);
    case 'false-not-run':
      return countFalseNotRun(sources, measure.group);
    case 'arrivals':
      return countArrivals(sources, measure);
    case 'received': {
      const counts = await Promise.all(
        sources
          .resolveHosts(measure.hosts)
          .map(name => fleet.host(name).upstreamCounts()),
      );
      return counts.reduce((sum, count) => sum + count.receivedCount, 0);
    }
    case 'version':
      return fleet.versionInForce(sources.resolveHost(measure.host));
    case 'version-bound': {
      const versions = await Promise.all(
        sources.runningHosts(measure.zone).map(fleet.versionInForce),
      );
      return measure.which === 'lowest'
        ? Math.min(...versions)
        : Math.max(...versions);
    }
    case 'version-decreases':
      return sources.versions.decreasesCount();
    case 'version-conflicts':
      return sources.versions.conflictsCount();
    case 'exit-code':
      return (
        sources.exitCodes.get(sources.resolveHost(measure.host)) ?? NOT_STOPPED
      );
    case 'ready-hosts': {
      const states = await Promise.all(
        sources.runningHosts().map(fleet.isReady),
      );
      return states.filter(Boolean).length;
    }
    case 'platform-calls':
      return (await fleet.platformCounts()).callsCount;
    case 'wrong-calls': {
      const counts = await Promise.all(
        [...fleet.hosts.values()].map(host => host.upstreamCounts()),
      );
      return counts.reduce((sum, count) => sum + count.wrongAnswersCount, 0);
    }
  }
}

/** Returns whether a count meets the condition. */
export function isConditionMet(condition: Condition, count: number): boolean {
  switch (condition.operator) {
    case '=':
      return count === condition.value;
    case '!=':
      return count !== condition.value;
    case '<':
      return count < condition.value;
    case '<=':
      return count <= condition.value;
    case '>':
      return count > condition.value;
    case '>=':
      return count >= condition.value;
  }
}

function countResults(
  sent: readonly CompletedRequest[],
  wanted: Extract<Measure, {kind: 'results'}>['result'],
): number {
  if (wanted === 'sent') return sent.length;
  return sent.filter(
    ({result}) => result.kind === wanted || result.outcome === wanted,
  ).length;
}

async function readExecutions(
  fleet: Fleet,
): Promise<readonly ServiceExecution[]> {
  const lists = await Promise.all(
    [...fleet.hosts.values()].map(async host => {
      const executions = await host.executions();
      const {service} = host.identity;
      return executions.map(execution => ({...execution, service}));
    }),
  );
  return lists.flat();
}

/** Counts executions at a service for each request of a group. */
async function countByRequest(
  sources: MeasureSources,
  measure: {readonly group: string; readonly service: string},
): Promise<Map<string, number>> {
  const executions = await readExecutions(sources.fleet);
  const counts = new Map<string, number>();
  for (const {name} of sources.requests.group(measure.group).started) {
    counts.set(name, 0);
  }
  for (const {request, service} of executions) {
    const count = counts.get(request);
    if (count === undefined || service !== measure.service) continue;
    counts.set(request, count + 1);
  }
  return counts;
}

/**
 * Returns the highest number of retries for one request: arrivals at a service
 * and path minus the calls that upstreams made (at the entry: the caller).
 */
async function maximumRetries(
  sources: MeasureSources,
  group: string,
): Promise<number> {
  const callCounts = new Map<string, Map<string, number>>();
  for (const {name, service, path} of sources.requests.group(group).started) {
    addCount(callCounts, name, callTargetKey(service, path), 1);
  }
  for (const {request, calls} of await readExecutions(sources.fleet)) {
    if (!callCounts.has(request)) continue;
    for (const [target, count] of Object.entries(calls)) {
      addCount(callCounts, request, target, count);
    }
  }
  const arrivalCounts = await readArrivals(sources.fleet);
  const retryCounts = [...callCounts].map(([request, targets]) =>
    [...(arrivalCounts.get(request) ?? [])].reduce(
      (sum, [target, count]) =>
        sum + Math.max(0, count - (targets.get(target) ?? 0)),
      0,
    ),
  );
  return Math.max(0, ...retryCounts);
}

/** Counts arrivals at the given upstreams that requests of a group caused. */
async function countArrivals(
  sources: MeasureSources,
  measure: Extract<Measure, {kind: 'arrivals'}>,
): Promise<number> {
  const {started} = sources.requests.group(measure.group);
  const names = new Set(started.map(({name}) => name));
  const lists = await Promise.all(
    sources
      .resolveHosts(measure.hosts)
      .map(name => sources.fleet.host(name).arrivals()),
  );
  return lists
    .flat()
    .filter(({request}) => names.has(request))
    .reduce((sum, {count}) => sum + count, 0);
}

/** Reads the arrivals at all upstreams, by request and call target. */
async function readArrivals(
  fleet: Fleet,
): Promise<ReadonlyMap<string, ReadonlyMap<string, number>>> {
  const arrivalCounts = new Map<string, Map<string, number>>();
  for (const host of fleet.hosts.values()) {
    for (const {request, path, count} of await host.arrivals()) {
      const target = callTargetKey(host.identity.service, path);
      addCount(arrivalCounts, request, target, count);
    }
  }
  return arrivalCounts;
}

function addCount(
  counts: Map<string, Map<string, number>>,
  request: string,
  target: string,
  count: number,
): void {
  const targets = counts.get(request) ?? new Map<string, number>();
  counts.set(request, targets);
  targets.set(target, (targets.get(target) ?? 0) + count);
}

/** Counts requests with only `not-run` outcomes that were executed anyway. */
async function countFalseNotRun(
  sources: MeasureSources,
  group: string,
): Promise<number> {
  const executions = await readExecutions(sources.fleet);
  const all = sources.requests.all();
  const names = new Set(
    sources.requests.group(group).completed.map(({name}) => name),
  );
  return [...names].filter(name => {
    const isAlwaysNotRun = all
      .filter(sent => sent.name === name)
      .every(({result}) => result.outcome === 'not-run');
    return isAlwaysNotRun && executions.some(({request}) => request === name);
  }).length;
}
