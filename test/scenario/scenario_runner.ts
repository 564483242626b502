/**
 * Executes the statements of a scenario against a fleet of real processes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../../src/emulator/fleet_launcher.js';
import {launchFleet} from '../../src/emulator/fleet_launcher.js';
import {
  createSmallPolicy,
  createSmallServices,
} from '../../src/emulator/small_deployment.js';
import {waitForKeyedWork} from '../../src/emulator/key_readiness.js';
import {waitFor} from '../../src/emulator/wait_for.js';
import {createKeyView} from '../../src/process/key_view.js';
import type {HostList, PublishedState} from '../../src/version/host_list.js';
import type {Policy} from '../../src/version/policy.js';
import {changePolicy} from './policy_change.js';
import type {
  Condition,
  DaemonAction,
  HostRef,
  HostsRef,
  RequestSpec,
  Statement,
  StatementOf,
} from './scenario_ast.js';
import type {MeasureSources} from './scenario_measures.js';
import {holds, takeMeasure} from './scenario_measures.js';
import type {ScenarioRequests} from './scenario_requests.js';
import {createScenarioRequests} from './scenario_requests.js';
import type {VersionWatch} from './version_watch.js';
import {watchVersions} from './version_watch.js';

/** Longest a planned stop may take before it counts as failed. */
const STOP_LIMIT_MILLIS = 30_000;
const LAUNCH_LIMIT_MILLIS = 30_000;

/** A scenario as far as it has been executed. */
interface Run {
  policy: Policy;
  setUp: StatementOf<'fleet'> | undefined;
  readonly control: Record<string, number>;
  list: HostList | undefined;
  fleet: Fleet | undefined;
  requests: ScenarioRequests | undefined;
  versions: VersionWatch | undefined;
  /** Hosts whose daemon is supposed to run. */
  readonly running: Set<string>;
  readonly frozen: Set<string>;
  readonly exitCodes: Map<string, number>;
  readonly background: Map<string, Promise<void>>;
  /** Turn of the next request that goes to any host. */
  nextTargetIndex: number;
}

/** Runs a scenario to its end; rejects at the first expectation not met. */
export async function runScenario(
  statements: readonly Statement[],
): Promise<void> {
  const run: Run = {
    policy: createSmallPolicy(2),
    setUp: undefined,
    control: {},
    list: undefined,
    fleet: undefined,
    requests: undefined,
    versions: undefined,
    running: new Set(),
    frozen: new Set(),
    exitCodes: new Map(),
    background: new Map(),
    nextTargetIndex: 0,
  };
  try {
    for (const statement of statements) await executeLine(run, statement);
    await Promise.all(run.background.values());
  } finally {
    await run.versions?.stop();
    run.requests?.dispose();
    await run.fleet?.close();
  }
}

async function executeLine(run: Run, statement: Statement): Promise<void> {
  try {
    await execute(run, statement);
  } catch (error) {
    throw new Error(
      `line ${String(statement.line)}: ${(error as Error).message}`,
      {cause: error},
    );
  }
}

async function execute(run: Run, statement: Statement): Promise<void> {
  switch (statement.kind) {
    case 'fleet':
      run.setUp = statement;
      run.policy = createSmallPolicy(statement.zonesCount);
      return;
    case 'policy-set':
      run.policy = changePolicy(run.policy, statement.path, statement.value);
      return;
    case 'control-set':
      run.control[statement.name] = statement.value;
      return;
    case 'start':
      return start(run, statement);
    case 'publish-policy': {
      const version = statement.version ?? run.policy.version + 1;
      run.policy = {...run.policy, version};
      return fleetOf(run).publishPolicy(run.policy);
    }
    case 'publish-document':
      return fleetOf(run).publishPolicyBytes(
        Buffer.from(statement.text),
        statement.version,
      );
    case 'publish-hosts':
      return publishHosts(run, statement);
    case 'send':
      return requestsOf(run).send(statement, statement.count);
    case 'load':
      return runTask(run, statement.group, () =>
        requestsOf(run).load(
          statement,
          statement.ratePerSecond,
          statement.durationMillis,
        ),
      );
    case 'await':
      await run.background.get(statement.group);
      return requestsOf(run).awaitGroup(statement.group);
    case 'daemon':
      return runTask(run, statement.group, () => actOnDaemons(run, statement));
    case 'pause':
      await sleep(statement.millis);
      return;
    case 'wait-leases':
      return waitForKeyedWork(
        fleetOf(run),
        run.policy,
        runningHosts(run),
        statement.limitMillis,
      );
    case 'wait-until':
      return check(run, statement.condition, statement.limitMillis);
    case 'expect':
      return check(run, statement.condition, 0);
    default:
      return applyFault(run, statement);
  }
}

/** Waits for a task, or leaves it to a later `await` when it has a name. */
async function runTask(
  run: Run,
  name: string | undefined,
  task: () => Promise<void>,
): Promise<void> {
  const running = task();
  if (name === undefined) return running;
  // A failure is reported by `await` or at the end, not as unhandled.
  running.catch(() => undefined);
  run.background.set(name, running);
}

async function start(run: Run, statement: StatementOf<'start'>): Promise<void> {
  const {setUp} = run;
  if (setUp === undefined) throw new Error('no fleet was described');
  const fleet = await launchFleet({
    policy: run.policy,
    services: createSmallServices(setUp.hostsCount),
    hasLinks: setUp.hasLinks,
    control: run.control,
    spareHosts: setUp.spareHosts,
  });
  run.fleet = fleet;
  for (const name of fleet.publishedStates().keys()) run.running.add(name);
  run.list = hostListOf(fleet);
  run.requests = createScenarioRequests(target => portOf(run, target));
  run.versions = watchVersions(fleet, () => runningHosts(run));
  await fleet.waitUntilReady(statement.limitMillis);
}

async function publishHosts(
  run: Run,
  statement: StatementOf<'publish-hosts'>,
): Promise<void> {
  const fleet = fleetOf(run);
  const states = new Map<string, PublishedState>(fleet.publishedStates());
  for (const {host, state} of statement.changes) {
    const name = resolveHost(run, host);
    if (state === 'removed') states.delete(name);
    else states.set(name, state);
  }
  run.list = await fleet.publishHosts(states);
}

async function actOnDaemons(
  run: Run,
  statement: StatementOf<'daemon'>,
): Promise<void> {
  for (const name of resolveHosts(run, statement.hosts)) {
    await actOnDaemon(run, name, statement.action);
  }
}

async function actOnDaemon(
  run: Run,
  name: string,
  action: DaemonAction,
): Promise<void> {
  const fleet = fleetOf(run);
  const host = fleet.host(name);
  switch (action) {
    case 'kill':
      run.running.delete(name);
      return host.killDaemon();
    case 'stop': {
      run.running.delete(name);
      const exit = await host.stopDaemon(STOP_LIMIT_MILLIS);
      run.exitCodes.set(name, exit.code ?? -1);
      return;
    }
    case 'freeze':
      run.frozen.add(name);
      host.daemon()?.signal('SIGSTOP');
      return;
    case 'resume':
      run.frozen.delete(name);
      host.daemon()?.signal('SIGCONT');
      return;
    case 'launch':
      await fleet.startDaemon(name);
      run.running.add(name);
      return fleet.waitUntilReady(LAUNCH_LIMIT_MILLIS, [name]);
    case 'replace':
      await actOnDaemon(run, name, 'stop');
      return actOnDaemon(run, name, 'launch');
  }
}

type FaultStatement = StatementOf<
  'zone-link' | 'host-link' | 'forget' | 'platform' | 'upstream'
>;

async function applyFault(run: Run, statement: FaultStatement): Promise<void> {
  const fleet = fleetOf(run);
  if (statement.kind === 'platform') {
    return fleet.setPlatformFault(statement.front, statement.fault);
  }
  if (statement.kind === 'zone-link') {
    fleet.setZoneLinkMode(statement.zoneA, statement.zoneB, statement.mode);
    return;
  }
  for (const name of resolveHosts(run, statement.hosts)) {
    const host = fleet.host(name);
    if (statement.kind === 'upstream') {
      if (statement.change === 'release') await host.releaseUpstream();
      else await host.setUpstreamFault(statement.change);
      continue;
    }
    const link = host.links?.[statement.link];
    if (link === undefined) throw new Error('the fleet has no links');
    if (statement.kind === 'forget') link.forgetOpenConnections();
    else link.setDefaultMode(statement.mode);
  }
}

async function check(
  run: Run,
  condition: Condition,
  limitMillis: number,
): Promise<void> {
  const sources: MeasureSources = {
    fleet: fleetOf(run),
    requests: requestsOf(run),
    versions: versionsOf(run),
    exitCodes: run.exitCodes,
    resolveHost: ref => resolveHost(run, ref),
    resolveHosts: ref => resolveHosts(run, ref),
    runningHosts: zone => runningHosts(run, zone),
  };
  let count = Number.NaN;
  const isMet = await waitFor(limitMillis, async () => {
    count = await takeMeasure(sources, condition.measure);
    return holds(condition, count);
  });
  if (isMet) return;
  throw new Error(
    `expected ${condition.text}, got ${String(count)}\n${describe(run)}`,
  );
}

/** Results by group, for the message of a failed expectation. */
function describe(run: Run): string {
  const lines = requestsOf(run)
    .all()
    .map(({name, result}) =>
      [
        name,
        result.kind,
        result.statusCode,
        result.outcome ?? '-',
        result.reason || result.problem,
        result.step,
        result.peer,
      ].join(' '),
    );
  return [...new Set(lines)].slice(-20).join('\n');
}

function resolveHost(run: Run, ref: HostRef): string {
  if (ref.kind === 'named') return ref.name;
  const [zone] = run.policy.availabilityZones;
  const owner = {service: ref.service, availabilityZone: zone?.name ?? ''};
  const view = createKeyView(run.policy, listOf(run), owner);
  const home = view.homeOf(requestsOf(run).keyOf(ref.key), ref.service);
  if (home === undefined) throw new Error(`no home for key ${ref.key}`);
  return home;
}

function resolveHosts(run: Run, ref: HostsRef): readonly string[] {
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

/** Hosts that run and are not frozen. */
function runningHosts(run: Run, zone?: string): readonly string[] {
  return [...run.running].filter(name => {
    const {availabilityZone} = fleetOf(run).host(name).identity;
    return (
      !run.frozen.has(name) && (zone ?? availabilityZone) === availabilityZone
    );
  });
}

/** Any running host in turn, or the one named. */
function portOf(run: Run, target: RequestSpec['target']): number {
  const fleet = fleetOf(run);
  if (target.kind === 'host') {
    return fleet.host(resolveHost(run, target.host)).ports.caller;
  }
  const names = runningHosts(run, target.zone);
  run.nextTargetIndex += 1;
  const name = names[run.nextTargetIndex % names.length];
  if (name === undefined) throw new Error('no host runs');
  return fleet.host(name).ports.caller;
}

function hostListOf(fleet: Fleet): HostList {
  const hosts = [...fleet.publishedStates()].map(([name, state]) => ({
    ...fleet.host(name).published,
    state,
  }));
  return {revision: 1, hosts};
}

function fleetOf(run: Run): Fleet {
  return need(run.fleet);
}

function requestsOf(run: Run): ScenarioRequests {
  return need(run.requests);
}

function versionsOf(run: Run): VersionWatch {
  return need(run.versions);
}

function listOf(run: Run): HostList {
  return need(run.list);
}

function need<T>(value: T | undefined): T {
  if (value === undefined) throw new Error('the fleet has not been started');
  return value;
}
