/**
 * Measures the CPU time and wakeups of nodes per call and per rejected request, for cold
 * and warm processes. Compares bundles in alternating batches of one run:
 * `npm run bench -- cost [COMMAND...]`, where each command is the path of a bundle,
 * followed by Node.js flags.
 *
 * Processes of a fleet serve few requests before they are replaced, so the first calls of
 * a new process matter as much as later ones.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import http from 'node:http';
import {join, resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Batch, BenchEndpoint} from './bench_client.js';
import {BENCH_HOST_NAME, sendBatch} from './bench_client.js';
import type {FakeUpstream} from '../test/fakes/fake_upstream.js';
import {startFakeUpstream} from '../test/fakes/fake_upstream.js';
import {createFakeStore} from '../test/fakes/fake_store.js';
import {freePorts} from '../test/fakes/free_ports.js';
import type {
  NodePorts,
  NodeProcess,
  ProcessCost,
} from '../test/fakes/node_process.js';
import {startNodeProcess} from '../test/fakes/node_process.js';

/** Number of calls to a new process, and of the calls after them. */
const COLD_COUNT = 2000;
const WARM_COUNT = 6000;

/** Calls to one fleet before the run switches to the next one. */
const BATCH_COUNT = 200;

/** Concurrent requests: few, as on a node with low load. */
const CONCURRENT_COUNT = 3;

/** Slots and response time of the overloaded upstream: 20 requests per second. */
const STORM_SLOTS_COUNT = 1;
const STORM_RESPONSE_MILLIS = 50;
const STORM_CONCURRENT_COUNT = 24;

/** Time for a node to adapt its admission level to the overload. */
const STORM_WARM_UP_MILLIS = 3000;

/** Duration of the measurement of an idle node. */
const IDLE_MILLIS = 3000;

const OWN_BUNDLE = 'target/fulmarhollowd.cjs';

/** The node that receives client requests, and the node of the called upstream. */
interface Fleet {
  readonly name: string;
  readonly entryNode: NodeProcess;
  readonly upstreamNode: NodeProcess;
  readonly outboundPort: number;
  readonly agent: http.Agent;
  stop(): Promise<void>;
}

/** Measures the bundle of this checkout and those of the commands. */
export async function measureCost(): Promise<readonly string[]> {
  const commands = [OWN_BUNDLE, ...process.argv.slice(3)];
  const fleets: Fleet[] = [];
  for (const [index, command] of commands.entries()) {
    fleets.push(await startFleet(command, index));
  }
  const lines = [
    ...(await measureIdle(fleets)),
    ...(await measureCalls(fleets, 'cold', COLD_COUNT)),
    ...(await measureCalls(fleets, 'warm', WARM_COUNT)),
    ...(await measureStorm(fleets)),
  ];
  for (const fleet of fleets) await fleet.stop();
  return lines;
}

async function startFleet(command: string, index: number): Promise<Fleet> {
  const [path = '', ...runtimeFlags] = command.split(' ');
  const bundlePath = resolve(path);
  const directory = mkdtempSync(join(process.cwd(), 'target', 'bench-'));
  const block = `127.${String(process.pid % 200)}.${String(index + 200)}`;
  const store = createFakeStore();
  const storeEndpoint = await store.openEndpoint();
  const [app = 0, inbound = 0, outbound = 0, ready = 0] = await freePorts(
    '127.0.0.1',
    4,
  );
  const ports: NodePorts = {
    app,
    inbound,
    outbound,
    ready,
    store: storeEndpoint.port,
  };
  const nodes: NodeProcess[] = [];
  const upstreams: FakeUpstream[] = [];
  store.put('op/config', CONFIGURATION);
  for (const [hostIndex, service] of ['clients', 'calls', 'storm'].entries()) {
    const address = `${block}.${String(hostIndex + 1)}`;
    const id = `i-${String(hostIndex)}`;
    const upstream = await startFakeUpstream({id, address, port: app});
    upstreams.push(upstream);
    const slots = service === 'storm' ? STORM_SLOTS_COUNT : 50;
    if (service === 'storm') {
      upstream.setHandler(request => {
        setTimeout(() => {
          request.respond(200, 'late');
        }, STORM_RESPONSE_MILLIS);
      });
    }
    store.put(`servers/${id}`, {
      address: `${address}:${String(app)}`,
      info: {service, version: 'v1', zone: 'zone-a', slots},
      status: {state: 'ready', seq: 1, coldLeftS: 0},
    });
    nodes.push(
      startNodeProcess({
        programPath: bundlePath,
        runtimeFlags,
        directory,
        address,
        service,
        ports,
      }),
    );
  }
  const [entryNode, upstreamNode] = nodes as [NodeProcess, NodeProcess];
  for (const node of nodes) await waitUntilReady(node.address, ready);
  return {
    name: command,
    entryNode,
    upstreamNode,
    outboundPort: outbound,
    agent: new http.Agent({keepAlive: true}),
    stop: async () => {
      for (const node of nodes) node.stop();
      for (const upstream of upstreams) await upstream.close();
      store.close();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}

const ROUTE = {
  kind: 'safe',
  timeoutS: 5,
  sloS: 2,
  priority: 3,
  maxAttempts: 2,
};

const CONFIGURATION = {
  version: '00000001',
  services: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutS: 3,
    idleTimeoutS: 15,
  },
  virtualHosts: [
    {
      host: BENCH_HOST_NAME,
      paths: [
        {...ROUTE, name: 'calls', prefix: '/calls/', service: 'calls'},
        {...ROUTE, name: 'storm', prefix: '/storm/', service: 'storm'},
      ],
    },
  ],
};

async function measureIdle(
  fleets: readonly Fleet[],
): Promise<readonly string[]> {
  const before = fleets.map(({entryNode}) => entryNode.cost());
  await sleep(IDLE_MILLIS);
  return fleets.map(({name, entryNode}, index) => {
    const cost = costSince(entryNode, before[index]);
    return formatLine('idle second', name, cost, IDLE_MILLIS / 1000);
  });
}

async function measureCalls(
  fleets: readonly Fleet[],
  label: string,
  count: number,
): Promise<readonly string[]> {
  const before = fleets.map(readCosts);
  for (let sentCount = 0; sentCount < count; sentCount += BATCH_COUNT) {
    for (const fleet of fleets) {
      await sendBatch(endpointOf(fleet), '/calls/1', {
        count: BATCH_COUNT,
        concurrentCount: CONCURRENT_COUNT,
        agent: fleet.agent,
      });
    }
  }
  return fleets.flatMap((fleet, index) => [
    formatLine(
      `${label} call, at the entry node`,
      fleet.name,
      costSince(fleet.entryNode, before[index]?.entryNode),
      count,
    ),
    formatLine(
      `${label} call, at the upstream's node`,
      fleet.name,
      costSince(fleet.upstreamNode, before[index]?.upstreamNode),
      count,
    ),
  ]);
}

/** Measures new connections as well, because clients may retry on a new connection. */
async function measureStorm(
  fleets: readonly Fleet[],
): Promise<readonly string[]> {
  const lines: string[] = [];
  for (const fleet of fleets) {
    const untilMillis = performance.now() + STORM_WARM_UP_MILLIS;
    const storm: Batch = {
      count: BATCH_COUNT,
      concurrentCount: STORM_CONCURRENT_COUNT,
      agent: false,
    };
    while (performance.now() < untilMillis) {
      await sendBatch(endpointOf(fleet), '/storm/1', storm);
    }
    for (const [label, agent] of [
      ['a new connection', false],
      ['a kept connection', fleet.agent],
    ] as const) {
      const before = fleet.entryNode.cost();
      const servedCount = await sendBatch(endpointOf(fleet), '/storm/1', {
        ...storm,
        agent,
        count: COLD_COUNT,
      });
      const cost = costSince(fleet.entryNode, before);
      const name = `${fleet.name} (${String(servedCount)} of ${String(COLD_COUNT)} served)`;
      lines.push(
        formatLine(`storm request on ${label}`, name, cost, COLD_COUNT),
      );
    }
  }
  return lines;
}

function endpointOf({entryNode, outboundPort}: Fleet): BenchEndpoint {
  return {address: entryNode.address, outboundPort};
}

interface FleetCosts {
  readonly entryNode: ProcessCost;
  readonly upstreamNode: ProcessCost;
}

function readCosts({entryNode, upstreamNode}: Fleet): FleetCosts {
  return {entryNode: entryNode.cost(), upstreamNode: upstreamNode.cost()};
}

function costSince(
  node: NodeProcess,
  before: ProcessCost | undefined,
): ProcessCost {
  const now = node.cost();
  return {
    cpuMillis: now.cpuMillis - (before?.cpuMillis ?? 0),
    userCpuMillis: now.userCpuMillis - (before?.userCpuMillis ?? 0),
    wakeupsCount: now.wakeupsCount - (before?.wakeupsCount ?? 0),
  };
}

function formatLine(
  label: string,
  name: string,
  cost: ProcessCost,
  count: number,
): string {
  const cpuMillis = (cost.cpuMillis / count).toFixed(3);
  const userMillis = (cost.userCpuMillis / count).toFixed(3);
  const wakeups = (cost.wakeupsCount / count).toFixed(2);
  return `${label}: ${cpuMillis} ms (user mode ${userMillis}), ${wakeups} wakeups; ${name}`;
}

async function waitUntilReady(address: string, port: number): Promise<void> {
  while (!(await isReady(address, port))) await sleep(20);
}

function isReady(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const request = http.get({host, port, path: '/readyz', agent: false});
    request.on('error', () => {
      resolve(false);
    });
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode === 200);
    });
  });
}
