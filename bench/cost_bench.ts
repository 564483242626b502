/**
 * Processor time and wakes that nodes spend on a call and on a refusal, cold
 * and warm, by bundles that take turns in one run:
 * `npm run bench -- cost [COMMAND...]`, each the path of a bundle and flags for
 * the runtime.
 *
 * A fleet's processes serve few requests each before they are replaced, so the
 * first calls of a fresh process count as much as those of a warm one.
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

/** Calls of a fresh process, and of the same process after them. */
const COLD_COUNT = 2000;
const WARM_COUNT = 6000;

/** Calls of one fleet before it is the other one's turn. */
const TURN_COUNT = 200;

/** Requests at the same time: as few as on a node that is far from full. */
const CONCURRENT_COUNT = 3;

/** Slots and time of the upstream behind a storm: 20 requests a second. */
const STORM_SLOTS_COUNT = 1;
const STORM_HOLD_MILLIS = 50;
const STORM_CONCURRENT_COUNT = 24;

/** Time in which a node learns what is too much for an upstream. */
const STORM_LEARN_MILLIS = 3000;

/** Time for an idle node's cost. */
const IDLE_MILLIS = 3000;

const OWN_BUNDLE = 'target/fulmarhollowd.cjs';

/** A client's node, a node beside an upstream, and a small upstream's. */
interface Fleet {
  readonly name: string;
  readonly entry: NodeProcess;
  readonly beside: NodeProcess;
  readonly outboundPort: number;
  readonly agent: http.Agent;
  end(): Promise<void>;
}

/** Measures this tree's bundle and the commands given. */
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
  for (const fleet of fleets) await fleet.end();
  return lines;
}

async function startFleet(command: string, index: number): Promise<Fleet> {
  const [path = '', ...runtimeFlags] = command.split(' ');
  const bundlePath = resolve(path);
  const directory = mkdtempSync(join(process.cwd(), 'target', 'bench-'));
  const block = `127.${String(process.pid % 200)}.${String(index + 200)}`;
  const store = createFakeStore();
  const entrance = await store.openEndpoint();
  const [app = 0, inbound = 0, outbound = 0, ready = 0] = await freePorts(
    '127.0.0.1',
    4,
  );
  const ports: NodePorts = {
    app,
    inbound,
    outbound,
    ready,
    store: entrance.port,
  };
  const nodes: NodeProcess[] = [];
  const backends: FakeUpstream[] = [];
  store.put('op/config', CONFIGURATION);
  for (const [host, service] of ['clients', 'calls', 'storm'].entries()) {
    const address = `${block}.${String(host + 1)}`;
    const id = `i-${String(host)}`;
    const backend = await startFakeUpstream({id, address, port: app});
    backends.push(backend);
    const slots = service === 'storm' ? STORM_SLOTS_COUNT : 50;
    if (service === 'storm') {
      backend.setHandler(request => {
        setTimeout(() => {
          request.respond(200, 'late');
        }, STORM_HOLD_MILLIS);
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
  const [entry, beside] = nodes as [NodeProcess, NodeProcess];
  for (const node of nodes) await untilReady(node.address, ready);
  return {
    name: command,
    entry,
    beside,
    outboundPort: outbound,
    agent: new http.Agent({keepAlive: true}),
    end: async () => {
      for (const node of nodes) node.stop();
      for (const backend of backends) await backend.close();
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
  const before = fleets.map(({entry}) => entry.cost());
  await sleep(IDLE_MILLIS);
  return fleets.map(({name, entry}, index) => {
    const spent = spentSince(entry, before[index]);
    return line('idle second', name, spent, IDLE_MILLIS / 1000);
  });
}

async function measureCalls(
  fleets: readonly Fleet[],
  label: string,
  count: number,
): Promise<readonly string[]> {
  const before = fleets.map(costs);
  for (let done = 0; done < count; done += TURN_COUNT) {
    for (const fleet of fleets) {
      await sendBatch(entryOf(fleet), '/calls/1', {
        count: TURN_COUNT,
        concurrentCount: CONCURRENT_COUNT,
        agent: fleet.agent,
      });
    }
  }
  return fleets.flatMap((fleet, index) => [
    line(
      `${label} call, at the entry`,
      fleet.name,
      spentSince(fleet.entry, before[index]?.entry),
      count,
    ),
    line(
      `${label} call, beside the upstream`,
      fleet.name,
      spentSince(fleet.beside, before[index]?.beside),
      count,
    ),
  ]);
}

/** Retries come on connections of their own. */
async function measureStorm(
  fleets: readonly Fleet[],
): Promise<readonly string[]> {
  const lines: string[] = [];
  for (const fleet of fleets) {
    const untilMillis = performance.now() + STORM_LEARN_MILLIS;
    const storm: Batch = {
      count: TURN_COUNT,
      concurrentCount: STORM_CONCURRENT_COUNT,
      agent: false,
    };
    while (performance.now() < untilMillis) {
      await sendBatch(entryOf(fleet), '/storm/1', storm);
    }
    for (const [label, agent] of [
      ['a new connection', false],
      ['a kept connection', fleet.agent],
    ] as const) {
      const before = fleet.entry.cost();
      const servedCount = await sendBatch(entryOf(fleet), '/storm/1', {
        ...storm,
        agent,
        count: COLD_COUNT,
      });
      const spent = spentSince(fleet.entry, before);
      const name = `${fleet.name} (${String(servedCount)} of ${String(COLD_COUNT)} served)`;
      lines.push(line(`storm request on ${label}`, name, spent, COLD_COUNT));
    }
  }
  return lines;
}

function entryOf({entry, outboundPort}: Fleet): BenchEndpoint {
  return {address: entry.address, outboundPort};
}

interface FleetCosts {
  readonly entry: ProcessCost;
  readonly beside: ProcessCost;
}

function costs({entry, beside}: Fleet): FleetCosts {
  return {entry: entry.cost(), beside: beside.cost()};
}

function spentSince(
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

function line(
  label: string,
  name: string,
  spent: ProcessCost,
  count: number,
): string {
  const millis = (spent.cpuMillis / count).toFixed(3);
  const own = (spent.userCpuMillis / count).toFixed(3);
  const wakes = (spent.wakeupsCount / count).toFixed(2);
  return `${label}: ${millis} ms (own code ${own}), ${wakes} wakes; ${name}`;
}

async function untilReady(address: string, port: number): Promise<void> {
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
