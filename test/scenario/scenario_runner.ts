/**
 * Executes the statements of a scenario against a fleet of real processes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {launchFleet} from '../../src/emulator/fleet_launcher.js';
import {
  createSmallPolicy,
  createSmallServices,
} from '../../src/emulator/small_deployment.js';
import {waitFor} from '../../src/emulator/wait_for.js';
import type {PublishedHostState} from '../../src/version/host_list.js';
import {setPolicyField} from './policy_change.js';
import type {Condition, Statement, StatementOf} from './scenario_ast.js';
import {applyDaemonAction} from './scenario_daemons.js';
import type {MeasureSources} from './scenario_measures.js';
import {isConditionMet, evaluateMeasure} from './scenario_measures.js';
import {createScenarioRequests} from './scenario_requests.js';
import type {ScenarioRun} from './scenario_run.js';
import {
  createScenarioRun,
  describeCrashes,
  describeResults,
  fleetOf,
  resolvePort,
  requestsOf,
  resolveHost,
  resolveHosts,
  runningHosts,
  versionsOf,
  watchedHosts,
} from './scenario_run.js';
import {monitorVersions} from './version_monitor.js';

/**
 * Runs a scenario; rejects at the first expectation that is not met, and if a
 * daemon has exited unexpectedly.
 */
export async function runScenario(
  statements: readonly Statement[],
): Promise<void> {
  const run = createScenarioRun();
  try {
    for (const statement of statements) await executeLine(run, statement);
    await Promise.all(run.background.values());
    const crashes = describeCrashes(run);
    if (crashes !== '') throw new Error(crashes);
  } finally {
    await run.versions?.stop();
    run.requests?.dispose();
    await run.fleet?.close();
  }
}

async function executeLine(
  run: ScenarioRun,
  statement: Statement,
): Promise<void> {
  try {
    await execute(run, statement);
  } catch (error) {
    throw new Error(
      `line ${String(statement.line)}: ${(error as Error).message}`,
      {cause: error},
    );
  }
}

async function execute(run: ScenarioRun, statement: Statement): Promise<void> {
  switch (statement.kind) {
    case 'fleet':
      run.fleetStatement = statement;
      run.policy = createSmallPolicy(statement.zonesCount);
      return;
    case 'policy-set':
      run.policy = setPolicyField(run.policy, statement.path, statement.value);
      return;
    case 'start':
      return start(run, statement);
    case 'publish-policy': {
      const version = statement.version ?? run.policy.version + 1;
      run.policy = {...run.policy, version};
      return fleetOf(run).publishPolicy(
        run.policy,
        statement.etagVersion ?? version,
      );
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
      return runTask(run, statement.group, () =>
        applyDaemonAction(run, statement),
      );
    case 'pause':
      await sleep(statement.millis);
      return;
    case 'wait-until':
      return checkCondition(run, statement.condition, statement.limitMillis);
    case 'expect':
      return checkCondition(run, statement.condition, 0);
    default:
      return applyFault(run, statement);
  }
}

/** Waits for a task, or leaves it to a later `await` if it has a name. */
async function runTask(
  run: ScenarioRun,
  name: string | undefined,
  task: () => Promise<void>,
): Promise<void> {
  const running = task();
  if (name === undefined) return running;
  // `await` or the end of the scenario reports a rejection.
  running.catch(() => undefined);
  run.background.set(name, running);
}

async function start(
  run: ScenarioRun,
  statement: StatementOf<'start'>,
): Promise<void> {
  const {fleetStatement} = run;
  if (fleetStatement === undefined) throw new Error('no fleet was defined');
  const fleet = await launchFleet({
    policy: run.policy,
    services: createSmallServices(fleetStatement.hostsCount),
    hasLinks: fleetStatement.hasLinks,
    spareHosts: fleetStatement.spareHosts,
  });
  run.fleet = fleet;
  for (const name of fleet.publishedStates().keys()) run.running.add(name);
  run.requests = createScenarioRequests(target => resolvePort(run, target));
  run.versions = monitorVersions(fleet, () => watchedHosts(run));
  await fleet.waitUntilReady(statement.limitMillis);
}

async function publishHosts(
  run: ScenarioRun,
  statement: StatementOf<'publish-hosts'>,
): Promise<void> {
  const fleet = fleetOf(run);
  const states = new Map<string, PublishedHostState>(fleet.publishedStates());
  for (const {host, state} of statement.changes) {
    const name = resolveHost(run, host);
    if (state === 'removed') states.delete(name);
    else states.set(name, state);
  }
  await fleet.publishHosts(states);
}

type FaultStatement = StatementOf<
  'zone-link' | 'host-link' | 'link-width' | 'forget' | 'platform' | 'upstream'
>;

async function applyFault(
  run: ScenarioRun,
  statement: FaultStatement,
): Promise<void> {
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
      else if (statement.change === 'restart') await host.restartUpstream();
      else await host.setUpstreamFault(statement.change);
      continue;
    }
    const link = host.links?.[statement.link];
    if (link === undefined) throw new Error('the fleet has no links');
    if (statement.kind === 'forget') link.stallOpenConnections();
    else if (statement.kind === 'link-width') {
      link.setBandwidth(statement.bytesPerSecond);
    } else link.setDefaultMode(statement.mode);
  }
}

async function checkCondition(
  run: ScenarioRun,
  condition: Condition,
  timeoutMillis: number,
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
  const isMet = await waitFor(timeoutMillis, async () => {
    count = await evaluateMeasure(sources, condition.measure);
    return isConditionMet(condition, count);
  });
  if (isMet) return;
  throw new Error(
    `expected ${condition.text}, got ${String(count)}\n${describeResults(run)}\n${describeCrashes(run)}`,
  );
}
