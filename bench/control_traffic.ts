/**
 * Cost of the control side: nodes without a data path in one process, at rest,
 * while a policy version spreads and while a host announces its drain.
 */
import {channel} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import type {ControlNode} from '../test/fakes/control_nodes.js';
import {
  createHostListBytes,
  startControlNode,
} from '../test/fakes/control_nodes.js';
import {createPolicyBytes} from '../test/fakes/policy_documents.js';
import {waitUntil} from '../test/fakes/wait_until.js';

const NODES_COUNT = 40;
const ZONES_COUNT = 4;
const SETTLING_MILLIS = 8_000;
const REST_MILLIS = 20_000;
const LAST_VERSION = 6;
const MICROS_PER_MILLI = 1_000;
const MILLIS_PER_SECOND = 1_000;

/** What one phase cost, per node. */
interface Cost {
  readonly phase: string;
  readonly durationMillis: number;
  /** Bytes sent; as many are received. Payload without TCP and IP headers. */
  readonly sentBytes: number;
  readonly messagesCount: number;
  readonly cpuMillis: number;
}

const sockets = new Set<Socket>();
channel('net.client.socket').subscribe(message => {
  sockets.add((message as {readonly socket: Socket}).socket);
});

/** Bytes in both directions over all connections, each seen from one end. */
function carriedBytes(): number {
  let total = 0;
  for (const socket of sockets) total += socket.bytesRead + socket.bytesWritten;
  return total;
}

function sentCount(nodes: readonly ControlNode[]): number {
  return nodes
    .map(node => node.count('control.messages_sent'))
    .reduce((sum, count) => sum + count, 0);
}

async function measure(
  phase: string,
  nodes: readonly ControlNode[],
  run: () => Promise<void>,
): Promise<Cost> {
  const bytesBefore = carriedBytes();
  const messagesBefore = sentCount(nodes);
  const cpuBefore = process.cpuUsage();
  const startMillis = performance.now();
  await run();
  const durationMillis = performance.now() - startMillis;
  const cpu = process.cpuUsage(cpuBefore);
  const cpuMicros = cpu.user + cpu.system;
  return {
    phase,
    durationMillis,
    sentBytes: (carriedBytes() - bytesBefore) / nodes.length,
    messagesCount: (sentCount(nodes) - messagesBefore) / nodes.length,
    cpuMillis: cpuMicros / MICROS_PER_MILLI / nodes.length,
  };
}

async function startNodes(): Promise<readonly ControlNode[]> {
  const nodes: ControlNode[] = [];
  for (let index = 0; index < NODES_COUNT; index += 1) {
    nodes.push(
      await startControlNode({
        hostName: `host-${String(index)}`,
        availabilityZone: zoneOf(index),
        seedPeers: nodes.slice(0, 1).map(node => node.seed),
        control: DEFAULT_CONTROL,
      }),
    );
  }
  return nodes;
}

function zoneOf(index: number): string {
  return `zone-${String(index % ZONES_COUNT)}`;
}

async function spread(
  nodes: readonly ControlNode[],
  version: number,
): Promise<void> {
  nodes[version]?.policyStore.offer(createPolicyBytes(version), 'bench');
  await waitUntil('the version on all nodes', () =>
    nodes.every(node => node.policyStore.newest()?.version === version),
  );
}

async function drainFirst(nodes: readonly ControlNode[]): Promise<void> {
  const [first] = nodes;
  if (first === undefined) return;
  await Effect.runPromise(first.plane.announce('draining'));
  await waitUntil('the drain on all nodes', () =>
    nodes.every(
      node => node.fleetView.host(first.hostName)?.acceptsNewWork === false,
    ),
  );
}

function print(cost: Cost): void {
  const perSecond = MILLIS_PER_SECOND / cost.durationMillis;
  const line = {
    phase: cost.phase,
    durationMillis: Math.round(cost.durationMillis),
    sentBytesPerNode: Math.round(cost.sentBytes),
    messagesPerNode: Number(cost.messagesCount.toFixed(1)),
    cpuMillisPerNode: Number(cost.cpuMillis.toFixed(2)),
    sentBytesPerNodePerSecond: Math.round(cost.sentBytes * perSecond),
    cpuMillisPerNodePerSecond: Number((cost.cpuMillis * perSecond).toFixed(2)),
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function main(): Promise<void> {
  const nodes = await startNodes();
  const list = createHostListBytes(
    1,
    nodes.map(({hostName, port}, index) => ({
      hostName,
      port,
      availabilityZone: zoneOf(index),
    })),
  );
  nodes[0]?.fleetView.offerList(list, 'bench');
  await spread(nodes, 1);
  for (const node of nodes) {
    await Effect.runPromise(node.plane.announce('serving'));
  }
  await sleep(SETTLING_MILLIS);
  print(await measure('rest', nodes, () => sleep(REST_MILLIS)));
  for (let version = 2; version <= LAST_VERSION; version += 1) {
    const phase = `version ${String(version)}`;
    print(await measure(phase, nodes, () => spread(nodes, version)));
    await sleep(MILLIS_PER_SECOND);
  }
  print(await measure('drain', nodes, () => drainFirst(nodes)));
  for (const node of nodes) node.stop();
}

await main();
