/**
 * Seeded load of long requests on a fleet of node processes, with faults that leave most
 * work in progress intact. Upstreams make calls of their own.
 */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type {ConnectionPolicy, ReceivedRequest} from './fake_upstream.js';
import {freeze, restartUpstream} from './order_soak.js';
import type {NodeProcess} from './node_process.js';
import type {PipelinedRequest, PipeliningClient} from './pipelining_client.js';
import {connectPipeliningClient} from './pipelining_client.js';
import {ORDER_PATH, SAFE_PATH, createPath} from './platform_fleet.js';
import type {ProcessFleet} from './process_fleet.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from './process_fleet.js';
import {createSeededRandom} from './seeded_random.js';
import type {
  FaultKind,
  SentRequest,
  WorkRecord,
  WorkReport,
} from './work_record.js';
import {createWorkRecord} from './work_record.js';

export interface WorkSoakReport extends WorkReport {
  /** Longest time for which this process, with all upstreams and relays, stood still. */
  readonly maxStallMillis: number;
}

export interface WorkSoakOptions {
  readonly seed: number;
  readonly clientsCount: number;
  readonly durationMillis: number;
}

const SERVICES = ['shop', 'shop', 'orders', 'orders', 'orders'];

/** Route whose requests make a call. */
const CALLING_PATH = createPath({
  name: 'r-3',
  prefix: '/shop/',
  service: 'shop',
});

const MIN_WORK_MILLIS = 50;
const MAX_WORK_MILLIS = 1500;
const TIMEOUT_MILLIS = 4000;
const MAX_PAUSE_MILLIS = 100;
const MAX_FAULT_INTERVAL_MILLIS = 500;
const MAX_FREEZE_MILLIS = 600;
const MAX_CUT_MILLIS = 1200;
const MIN_REFUSAL_MILLIS = 300;
const MAX_REFUSAL_MILLIS = 1500;
const ORDER_RATIO = 0.4;
const CALLING_RATIO = 0.3;

/** Ratio of the responses of upstreams after which the connection is closed. */
const CLOSED_CONNECTION_RATIO = 0.3;

const GRACE_SECONDS = 6;
/** A stopping node gives up requests within the last second of the grace period. */
const KEPT_GRACE_MILLIS = 5000;

/** Load and faults draw from separate streams, so that a seed has the same faults. */
const LOAD_SEED_OFFSET = 1_000_000;

const NANOS_PER_MILLI = 1e6;

interface Soak {
  readonly fleet: ProcessFleet;
  readonly record: WorkRecord;
  readonly random: () => number;
  readonly endMillis: number;
}

/** Runs one seed. */
export async function runWorkSoak(
  t: ExecutionContext,
  {seed, clientsCount, durationMillis}: WorkSoakOptions,
): Promise<WorkSoakReport> {
  const fleet = await startProcessFleet(
    t,
    SERVICES,
    [SAFE_PATH, ORDER_PATH, CALLING_PATH],
    {graceSeconds: GRACE_SECONDS, hasLinks: true},
  );
  await waitForVersion(fleet.hosts, 1);
  await waitForAllUpstreams(fleet.hosts);
  const soak: Soak = {
    fleet,
    record: createWorkRecord({graceMillis: KEPT_GRACE_MILLIS}),
    random: createSeededRandom(seed + LOAD_SEED_OFFSET),
    endMillis: performance.now() + durationMillis,
  };
  const delays = monitorEventLoopDelay();
  delays.enable();
  for (const index of fleet.hosts.keys()) installWork(soak, index);
  const clients = Array.from({length: clientsCount}, (_, index) =>
    runClient(soak, index),
  );
  await injectFaults(soak, createSeededRandom(seed));
  await Promise.all(clients);
  delays.disable();
  const report = soak.record.report(fleet.hosts.map(({allLines}) => allLines));
  return {...report, maxStallMillis: delays.max / NANOS_PER_MILLI};
}

/** Lets an upstream work on each request, and call another service for some. */
function installWork(soak: Soak, hostIndex: number): void {
  const {fleet, record, random} = soak;
  const {upstream} = fleet.hosts[hostIndex]!;
  const work = (): Promise<void> => {
    const rangeMillis = MAX_WORK_MILLIS - MIN_WORK_MILLIS;
    return sleep(MIN_WORK_MILLIS + random() * rangeMillis);
  };
  const handle = async (received: ReceivedRequest): Promise<void> => {
    const {attemptId, response, target} = received;
    const run = record.startRun(attemptId, hostIndex);
    response.once('close', () => {
      record.endRun(run, !response.writableFinished);
    });
    await work();
    let isServed = true;
    if (target.startsWith('/shop/') && !run.isCut) {
      const callId = `${attemptId}.${String(Math.floor(run.startMillis))}`;
      const call = createRequest(random, callId);
      const sent = record.begin(
        {...targetOf(call), parent: run, entryIndex: hostIndex},
        TIMEOUT_MILLIS,
      );
      isServed = await fleet.send(hostIndex, call).then(
        ({statusCode, headers}) => {
          const isSigned = 'response-signature' in headers;
          record.end(sent, String(statusCode), isFailure(statusCode, isSigned));
          return statusCode < 300;
        },
        () => {
          record.end(sent, 'lost', true);
          return false;
        },
      );
    }
    if (run.isCut) return;
    if (random() < CLOSED_CONNECTION_RATIO) {
      response.setHeader('connection', 'close');
    }
    received.respond(isServed ? 200 : 500, 'served');
  };
  upstream.setHandler(request => void handle(request));
}

function isFailure(statusCode: number, isSigned: boolean): boolean {
  return statusCode >= 500 && !isSigned;
}

function targetOf({
  attemptId,
  path,
}: PipelinedRequest): Pick<SentRequest, 'attemptId' | 'target'> {
  return {attemptId, target: path};
}

function createRequest(
  random: () => number,
  attemptId: string,
): PipelinedRequest {
  const timeoutMillis = TIMEOUT_MILLIS;
  if (random() >= ORDER_RATIO) {
    return {attemptId, method: 'GET', path: '/a/1', timeoutMillis};
  }
  const path = '/order/1';
  return {attemptId, method: 'POST', path, body: 'x', timeoutMillis};
}

/** Sends one request at a time, on one connection until its node closes it. */
async function runClient(soak: Soak, clientIndex: number): Promise<void> {
  const {fleet, record, random} = soak;
  const entryIndex = clientIndex % fleet.hosts.length;
  const {address} = fleet.hosts[entryIndex]!;
  let client: PipeliningClient | undefined;
  let requestsCount = 0;
  while (performance.now() < soak.endMillis) {
    await sleep(random() * MAX_PAUSE_MILLIS);
    if (client?.isOpen !== true) {
      client = await connectPipeliningClient(address, fleet.outboundPort).catch(
        () => undefined,
      );
      if (client === undefined) continue;
    }
    requestsCount += 1;
    const attemptId = `c${String(clientIndex)}-${String(requestsCount)}`;
    const plain = createRequest(random, attemptId);
    const isCalling = plain.method === 'GET' && random() < CALLING_RATIO;
    const request = isCalling ? {...plain, path: '/shop/1'} : plain;
    const sent = record.begin(
      {...targetOf(request), parent: undefined, entryIndex},
      TIMEOUT_MILLIS,
    );
    const [outcome] = await client.send([request]);
    if (outcome?.kind !== 'answered') {
      record.end(sent, outcome?.kind ?? 'none', outcome?.kind === 'lost');
      continue;
    }
    const {statusCode, headers} = outcome.head;
    const isSigned = headers.has('response-signature');
    record.end(sent, String(statusCode), isFailure(statusCode, isSigned));
  }
  client?.close();
}

async function injectFaults(
  {fleet, record, endMillis}: Soak,
  random: () => number,
): Promise<void> {
  const pending: Promise<void>[] = [];
  const faultyUpstreams = new Set<number>();
  const cutHosts = new Set<number>();
  /** A node whose stop is requested a second time exits without a grace period. */
  const stoppingNodes = new Set<NodeProcess>();
  let version = 1;
  let restartsCount = 0;
  const runUpstreamFault = async (
    kind: FaultKind,
    index: number,
    action: () => Promise<unknown>,
  ): Promise<void> => {
    if (faultyUpstreams.has(index)) return;
    faultyUpstreams.add(index);
    await record.during(kind, index, action);
    faultyUpstreams.delete(index);
  };
  while (performance.now() < endMillis) {
    await sleep(random() * MAX_FAULT_INTERVAL_MILLIS);
    const index = Math.floor(random() * fleet.hosts.length);
    const {process, upstream} = fleet.hosts[index]!;
    const choice = Math.floor(random() * 15);
    const lengthRatio = random();
    const refuse = (kind: FaultKind, policy: ConnectionPolicy): Promise<void> =>
      runUpstreamFault(kind, index, async () => {
        const rangeMillis = MAX_REFUSAL_MILLIS - MIN_REFUSAL_MILLIS;
        await upstream.setConnectionPolicy(policy);
        await sleep(MIN_REFUSAL_MILLIS + lengthRatio * rangeMillis);
        await upstream.setConnectionPolicy('accept');
      });
    switch (choice) {
      case 0:
        await record.during('node killed', index, () => {
          fleet.restart(index);
          return Promise.resolve();
        });
        break;
      case 1:
      case 2:
        if (stoppingNodes.has(process)) break;
        stoppingNodes.add(process);
        pending.push(
          record.during('node stopped', index, () =>
            fleet.stopAndRestart(index),
          ),
        );
        break;
      case 3:
        pending.push(
          record.during('node frozen', index, () =>
            freeze(process, lengthRatio * MAX_FREEZE_MILLIS),
          ),
        );
        break;
      case 4: {
        restartsCount += 1;
        const count = restartsCount;
        const id =
          lengthRatio < 0.5
            ? upstream.id
            : `i-${String(index)}-${String(count)}`;
        pending.push(
          runUpstreamFault('upstream restarted', index, () =>
            restartUpstream(fleet, {index, id, restartsCount: count}),
          ),
        );
        break;
      }
      case 5:
        version += 1;
        await record.during('configured', index, () => {
          fleet.configure(version);
          return Promise.resolve();
        });
        break;
      case 6:
      case 7:
        if (cutHosts.has(index)) break;
        cutHosts.add(index);
        pending.push(
          record.during('hops cut', index, async () => {
            fleet.links?.cut(index);
            await sleep(lengthRatio * MAX_CUT_MILLIS);
            fleet.links?.restore(index);
            cutHosts.delete(index);
          }),
        );
        break;
      case 8:
      case 9:
      case 10:
        pending.push(refuse('connections refused', 'refuse'));
        break;
      case 11:
      case 12:
        pending.push(refuse('connections not accepted', 'leave-in-queue'));
        break;
      default:
        pending.push(refuse('connections reset', 'reset'));
    }
  }
  await Promise.all(pending);
}
