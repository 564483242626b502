/**
 * Demo program: starts a small fleet in separate processes, sends member
 * requests and orders, prints the results and stops the fleet.
 */
import {v7 as uuid} from 'uuid';
import type {CallerRequest, CallerResult} from './caller.js';
import {sendCallerRequest} from './caller.js';
import {keepZones, readExamplePolicy} from './example_deployment.js';
import type {Fleet} from './fleet_launcher.js';
import {launchFleet} from './fleet_launcher.js';
import type {Policy} from '../version/policy.js';
import {createIlorinServices} from './ilorin_services.js';
import {exitOnSignal, exitWithError} from './process_support.js';
import {formatTable} from './text_table.js';
import {waitFor} from './wait_for.js';

const ZONES_COUNT = 2;
const READY_TIMEOUT_MILLIS = 30_000;
const VERSION_TIMEOUT_MILLIS = 10_000;
const STOP_TIMEOUT_MILLIS = 40_000;
const CALLER_TIMEOUT_MILLIS = 5000;

/** Enough reads for each upstream of a service to receive one. */
const READS_COUNT = 8;

/** A request of the demo and its expected status code (200 if absent). */
interface DemoRequest {
  readonly label: string;
  readonly host: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string | undefined;
  readonly expectedStatusCode?: number | undefined;
}

interface DemoResult {
  readonly request: DemoRequest;
  readonly result: CallerResult;
}

async function main(): Promise<void> {
  const policy = await createDemoPolicy();
  const fleet = await launchFleet({
    policy,
    services: createIlorinServices(1),
    hasLinks: false,
  });
  exitOnSignal(fleet.close);
  const problems: string[] = [];
  try {
    await fleet.waitUntilReady(READY_TIMEOUT_MILLIS);
    print(`${String(fleet.hosts.size)} daemons are ready in 2 zones.\n`);
    problems.push(...(await runReads(fleet)));
    problems.push(...(await runOrder(fleet)));
    problems.push(...(await runRetry(fleet)));
    await fleet.publishPolicy({...policy, version: policy.version + 1});
    problems.push(...(await checkVersions(fleet, policy.version + 1)));
    problems.push(...(await stopAll(fleet)));
  } finally {
    await fleet.close();
  }
  for (const problem of problems) print(`WRONG: ${problem}`);
  if (problems.length > 0) process.exitCode = 1;
}

/** Reads the example policy, reduced to two of its availability zones. */
async function createDemoPolicy(): Promise<Policy> {
  return keepZones(await readExamplePolicy('ilorin'), ZONES_COUNT);
}

/** Sends reads of each call depth through nodes of both zones. */
async function runReads(fleet: Fleet): Promise<readonly string[]> {
  const results = await sendAll(fleet, [
    {
      label: 'browse a tile',
      host: 'catalogue-ilorin-a-1',
      service: 'tileyard',
      method: 'GET',
      path: '/tiles/9/1/2',
    },
    {
      label: 'read a record',
      host: 'orderdesk-ilorin-b-1',
      service: 'atlas',
      method: 'GET',
      path: '/survey-records/r1',
    },
    {
      label: 'download a grid',
      host: 'atlas-ilorin-b-1',
      service: 'tileyard',
      method: 'GET',
      path: '/elevation-grids/p7',
    },
    {
      label: 'ask for a quote',
      host: 'tileyard-ilorin-a-1',
      service: 'orderdesk',
      method: 'POST',
      path: '/quotes',
      body: '{"product":"p7"}',
    },
    {
      label: 'unknown route',
      host: 'atlas-ilorin-a-1',
      service: 'orderdesk',
      method: 'GET',
      path: '/nothing',
      expectedStatusCode: 404,
    },
  ]);
  return showResults('Member requests', results);
}

/** Sends an order while a host is down; another host must execute it once. */
async function runOrder(fleet: Fleet): Promise<readonly string[]> {
  await fleet.host('orderdesk-ilorin-a-1').killDaemon();
  const name = uuid();
  const results = await sendAll(
    fleet,
    [
      {
        label: 'order',
        host: 'tileyard-ilorin-a-1',
        service: 'orderdesk',
        method: 'POST',
        path: '/terrain-orders',
        body: '{"product":"p7"}',
      },
    ],
    name,
  );
  await fleet.startDaemon('orderdesk-ilorin-a-1');
  await fleet.waitUntilReady(READY_TIMEOUT_MILLIS, ['orderdesk-ilorin-a-1']);
  const problems = showResults('An order while a host is down', results);
  const executions = await countExecutions(fleet, name, '/terrain-orders');
  const takings = await countExecutions(fleet, name, '/stock/p7/takings');
  print(
    `Executed ${String(executions)} time(s), stock taken ${String(takings)} time(s).\n`,
  );
  if (executions === 1 && takings === 1) return problems;
  return [...problems, 'the order was not executed exactly once'];
}

/** Sends reads while an upstream resets one connection; one must be retried. */
async function runRetry(fleet: Fleet): Promise<readonly string[]> {
  await fleet
    .host('tileyard-ilorin-b-1')
    .setUpstreamFault({mode: 'reset', remainingCount: 1});
  const read: DemoRequest = {
    label: 'browse a tile',
    host: 'tileyard-ilorin-b-1',
    service: 'tileyard',
    method: 'GET',
    path: '/tiles/9/1/2',
  };
  const results = await sendAll(fleet, Array(READS_COUNT).fill(read));
  const problems = showResults('A connection breaks at an upstream', results);
  const isRetried = results.some(({result}) => result.retriesSpentCount > 0);
  return isRetried ? problems : [...problems, 'no read was retried'];
}

async function checkVersions(
  fleet: Fleet,
  version: number,
): Promise<readonly string[]> {
  const names = [...fleet.hosts.keys()];
  const readVersions = (): Promise<readonly number[]> =>
    Promise.all(names.map(name => fleet.versionInForce(name)));
  const isInForce = await waitFor(VERSION_TIMEOUT_MILLIS, async () =>
    (await readVersions()).every(activeVersion => activeVersion === version),
  );
  const versions = await readVersions();
  const rows = names.map((name, i) => [name, String(versions[i])]);
  print(`Policy version in force, after version ${String(version)} came out`);
  print(formatTable(['host', 'version'], rows));
  return isInForce ? [] : ['a node did not take up the new version'];
}

async function stopAll(fleet: Fleet): Promise<readonly string[]> {
  const exits = await Promise.all(
    [...fleet.hosts.values()].map(host => host.stopDaemon(STOP_TIMEOUT_MILLIS)),
  );
  const cleanCount = exits.filter(exit => exit.code === 0).length;
  print(
    `${String(cleanCount)} of ${String(exits.length)} daemons stopped cleanly.`,
  );
  return cleanCount === exits.length ? [] : ['a daemon did not stop cleanly'];
}

function sendAll(
  fleet: Fleet,
  requests: readonly DemoRequest[],
  name?: string,
): Promise<readonly DemoResult[]> {
  return Promise.all(
    requests.map(async request => {
      const callerRequest: CallerRequest = {
        port: fleet.host(request.host).ports.caller,
        service: request.service,
        method: request.method,
        path: request.path,
        name: name ?? uuid(),
        body:
          request.body === undefined ? undefined : Buffer.from(request.body),
        timeoutMillis: CALLER_TIMEOUT_MILLIS,
      };
      return {request, result: await sendCallerRequest(callerRequest)};
    }),
  );
}

/** Counts the executions of a path for the request with the given name. */
async function countExecutions(
  fleet: Fleet,
  name: string,
  path: string,
): Promise<number> {
  const lists = await Promise.all(
    [...fleet.hosts.values()].map(host => host.executions()),
  );
  return lists
    .flat()
    .filter(execution => execution.path === path && execution.request === name)
    .length;
}

function showResults(
  title: string,
  results: readonly DemoResult[],
): readonly string[] {
  printResults(title, results);
  return findProblems(results);
}

function printResults(title: string, results: readonly DemoResult[]): void {
  const rows = results.map(({request, result}) => [
    request.label,
    request.host,
    result.kind,
    String(result.statusCode),
    String(result.retriesSpentCount),
    result.outcome ?? '-',
    String(result.policyVersion),
  ]);
  const headings = [
    'asked',
    'at node of',
    'came back',
    'status',
    'retries',
    'outcome',
    'version',
  ];
  print(title);
  print(formatTable(headings, rows));
}

function findProblems(results: readonly DemoResult[]): readonly string[] {
  return results.flatMap(({request, result}) => {
    const expected = request.expectedStatusCode ?? 200;
    if (result.kind !== 'wrong' && result.statusCode === expected) return [];
    const detail = result.problem === '' ? result.reason : result.problem;
    return [`${request.label}: ${String(result.statusCode)} ${detail}`];
  });
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

main().catch(exitWithError);
