/**
 * State of a running scenario, and resolution of the names in its statements.
 */
import type {Fleet} from '../../src/emulator/fleet_launcher.js';
import type {ManagedProcess} from '../../src/emulator/managed_process.js';
import {createSmallPolicy} from '../../src/emulator/small_deployment.js';
import type {Policy} from '../../src/version/policy.js';
import type {
  HostRef,
  HostsRef,
  RequestSpec,
  StatementOf,
} from './scenario_ast.js';
import type {ScenarioRequests} from './scenario_requests.js';
import type {VersionMonitor} from './version_monitor.js';

/** Log lines in the message about a daemon that exited unexpectedly. */
const LOG_LINES_COUNT = 5;

/** Maximum number of distinct results in the message of a failed expectation. */
const RESULTS_COUNT = 20;

/** State of a running scenario. */
export interface ScenarioRun {
  policy: Policy;
  fleetStatement: StatementOf<'fleet'> | undefined;
  fleet: Fleet | undefined;
  requests: ScenarioRequests | undefined;
  versions: VersionMonitor | undefined;
  /** Hosts whose daemon should be running. */
  readonly running: Set<string>;
  readonly frozen: Set<string>;
  readonly exitCodes: Map<string, number>;
  readonly background: Map<string, Promise<void>>;
  /** Round-robin position of requests without a fixed host. */
  nextTargetIndex: number;
}

/** Creates the state of a scenario before its first statement. */
export function createScenarioRun(): ScenarioRun {
  return {
    policy: createSmallPolicy(2),
    fleetStatement: undefined,
    fleet: undefined,
    requests: undefined,
    versions: undefined,
    running: new Set(),
    frozen: new Set(),
    exitCodes: new Map(),
    background: new Map(),
    nextTargetIndex: 0,
  };
}

/** Describes the results other than `answered`, with identical ones counted. */
export function describeResults(run: ScenarioRun): string {
  const counts = new Map<string, number>();
  const lines = requestsOf(run)
    .all()
    .filter(({result}) => result.kind !== 'answered')
    .map(({path, result}) =>
      [
        path,
        result.kind,
        result.statusCode,
        result.outcome ?? '-',
        result.reason || result.problem,
      ].join(' '),
    );
  for (const line of lines) counts.set(line, (counts.get(line) ?? 0) + 1);
  return [...counts]
    .map(([line, count]) => `${String(count)} x ${line}`)
    .slice(-RESULTS_COUNT)
    .join('\n');
}

/**
 * Describes daemons that exited unexpectedly. A scenario in which one did must
 * fail, because requests rejected by a dead process satisfy many upper bounds.
 */
export function describeCrashes(run: ScenarioRun): string {
  return [...run.running]
    .map(name => run.fleet?.host(name).daemon())
    .filter(daemon => daemon?.hasExited() === true)
    .map(daemon => `${daemon?.name ?? ''} has ended:\n${lastLines(daemon)}`)
    .join('\n');
}

function lastLines(daemon: ManagedProcess | undefined): string {
  return daemon?.log().slice(-LOG_LINES_COUNT).join('\n') ?? '';
}

/** Returns the name of a host; the fleet checks it on use. */
export function resolveHost(_run: ScenarioRun, ref: HostRef): string {
  return ref.name;
}

export function resolveHosts(
  run: ScenarioRun,
  ref: HostsRef,
): readonly string[] {
  if (ref.kind === 'one') return [resolveHost(run, ref.host)];
  return [...fleetOf(run).hosts.values()]
    .map(({identity}) => identity)
    .filter(
      ({service, availabilityZone}) =>
        (ref.service ?? service) === service &&
        (ref.zone ?? availabilityZone) === availabilityZone,
    )
    .map(({name}) => name);
}

/** Hosts whose daemon process exists and is not frozen, ready or not. */
export function watchedHosts(run: ScenarioRun): readonly string[] {
  return [...fleetOf(run).hosts]
    .filter(([, host]) => host.daemon()?.hasExited() === false)
    .map(([name]) => name)
    .filter(name => !run.frozen.has(name));
}

/** Hosts whose daemon should be running and is not frozen. */
export function runningHosts(
  run: ScenarioRun,
  zone?: string,
): readonly string[] {
  return [...run.running].filter(name => {
    const {availabilityZone} = fleetOf(run).host(name).identity;
    return (
      !run.frozen.has(name) && (zone ?? availabilityZone) === availabilityZone
    );
  });
}

/** Returns the caller port of the target host, or of running hosts in turn. */
export function resolvePort(
  run: ScenarioRun,
  target: RequestSpec['target'],
): number {
  const fleet = fleetOf(run);
  if (target.kind === 'host') {
    return fleet.host(resolveHost(run, target.host)).ports.caller;
  }
  const names = runningHosts(run, target.zone);
  run.nextTargetIndex += 1;
  const name = names[run.nextTargetIndex % names.length];
  if (name === undefined) throw new Error('no host is running');
  return fleet.host(name).ports.caller;
}

export function fleetOf(run: ScenarioRun): Fleet {
  return requireStarted(run.fleet);
}

export function requestsOf(run: ScenarioRun): ScenarioRequests {
  return requireStarted(run.requests);
}

export function versionsOf(run: ScenarioRun): VersionMonitor {
  return requireStarted(run.versions);
}

function requireStarted<T>(value: T | undefined): T {
  if (value === undefined) throw new Error('the fleet has not been started');
  return value;
}
