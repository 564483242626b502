/**
 * What a node exchanges with its peers: heartbeats, announcements, views and
 * documents.
 */
import {channel} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import type {ControlNode, ListedHost} from '../test/fakes/control_nodes.js';
import {
  createHostListBytes,
  startControlNode,
} from '../test/fakes/control_nodes.js';
import {waitUntil} from '../test/fakes/wait_until.js';
import {createPolicyOfBytes, TARGET} from './capacity_documents.js';
import {readCpuMillis, readLiveBytes} from './capacity_memory.js';
import type {CapacityPeers} from './capacity_peers.js';
import {startCapacityPeers} from './capacity_peers.js';
import type {ProbeFigures} from './capacity_probe.js';
import {CapacityProbe} from './capacity_probe.js';

const MILLIS_PER_SECOND = 1000;
const SETTLING_MILLIS = 1_500;
const WINDOW_MILLIS = 4_000;
const EXCHANGE_STREAMS_COUNT = 8;
const RELAY_STREAMS_COUNT = 4;
const ELECTORS_COUNT = 4;
const CONFIRM_TIMEOUT_MILLIS = 1_000;
const ADDRESS = '127.0.0.1';

/** Control ports of hosts that are listed but never called. */
const FILL_PORT = 10_000;

const sockets = new Set<Socket>();
channel('net.client.socket').subscribe(message => {
  sockets.add((message as {readonly socket: Socket}).socket);
});

/** Bytes sent and received on connections that this process opened. */
function carriedBytes(): number {
  let total = 0;
  for (const socket of sockets) total += socket.bytesRead + socket.bytesWritten;
  return total;
}

/** The measured node and the process it talks to. */
interface Conversation {
  readonly node: ControlNode;
  readonly peers: CapacityPeers;
  /** Live bytes before the node had a stream. */
  readonly startBytes: number;
}

async function withConversation<T>(
  streamsCount: number,
  heartbeatMillis: number,
  fillCount: number,
  run: (conversation: Conversation) => Promise<T>,
): Promise<T> {
  const peers = await startCapacityPeers(streamsCount, heartbeatMillis);
  const startBytes = await readLiveBytes();
  const node = await startControlNode({
    hostName: 'measured',
    hostList: createList(peers.ports, fillCount),
    control: {
      ...DEFAULT_CONTROL,
      heartbeatMillis,
      zonePeersCount: streamsCount,
      remotePeersCount: 0,
    },
  });
  try {
    await waitUntil(
      'all streams',
      () =>
        node.events.filter(event => event === 'peer-connected').length >=
        streamsCount,
    );
    await sleep(SETTLING_MILLIS);
    return await run({node, peers, startBytes});
  } finally {
    node.stop();
    peers.close();
  }
}

/** The reachable peers and, in other zones, hosts that no one is to call. */
function createList(ports: readonly number[], fillCount: number): Uint8Array {
  const peers: ListedHost[] = ports.map((port, index) => ({
    hostName: `peer-${String(index)}`,
    port,
  }));
  const others = fillNames(fillCount).map((hostName, index) => ({
    hostName,
    port: FILL_PORT + index,
    availabilityZone: `zone-${String(index % TARGET.zonesCount)}`,
  }));
  return createHostListBytes(1, [...peers, ...others]);
}

function fillNames(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `far-${String(index)}`);
}

/** CPU time and bytes a second of a node that is left alone. */
async function measureWindow(
  run: () => Promise<unknown> = () => sleep(WINDOW_MILLIS),
): Promise<{
  readonly cpuMillisPerSecond: number;
  readonly bytesPerSecond: number;
}> {
  const beforeBytes = carriedBytes();
  const beforeCpuMillis = readCpuMillis();
  const startMillis = performance.now();
  await run();
  const seconds = (performance.now() - startMillis) / MILLIS_PER_SECOND;
  return {
    cpuMillisPerSecond: (readCpuMillis() - beforeCpuMillis) / seconds,
    bytesPerSecond: (carriedBytes() - beforeBytes) / seconds,
  };
}

/** Open peer streams with a heartbeat a second in each direction. */
export function createStreamsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'streams';
    override readonly quantity = 'open streams';
    override readonly sizes = [1, 8, 16, 32];
    override async measure(size: number): Promise<ProbeFigures> {
      const {heartbeatMillis} = DEFAULT_CONTROL;
      return withConversation(size, heartbeatMillis, 0, async conversation => {
        const window = await measureWindow();
        const liveBytes = (await readLiveBytes()) - conversation.startBytes;
        return {...window, liveBytes};
      });
    }
  })();
}

/** Heartbeats sent a second, with as many received, on eight streams. */
export function createExchangesProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'exchanges';
    override readonly quantity = 'exchanges a second';
    override readonly sizes = [8, 40, 80, 160];
    override async measure(size: number): Promise<ProbeFigures> {
      const heartbeatMillis =
        (EXCHANGE_STREAMS_COUNT * MILLIS_PER_SECOND) / size;
      return withConversation(EXCHANGE_STREAMS_COUNT, heartbeatMillis, 0, () =>
        measureWindow(),
      );
    }
  })();
}

/** Announcements of hosts a second that arrive and are passed on. */
export function createStatusesProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'statuses';
    override readonly quantity = 'status changes a second';
    override readonly sizes = [5, 20, 80];
    override async measure(size: number): Promise<ProbeFigures> {
      const {heartbeatMillis} = DEFAULT_CONTROL;
      const {hostsCount} = TARGET;
      return withConversation(
        RELAY_STREAMS_COUNT,
        heartbeatMillis,
        hostsCount,
        async ({node, peers}) => {
          const list = createList(peers.ports, hostsCount);
          await peers.send({
            kind: 'list',
            list: Buffer.from(list).toString('utf8'),
          });
          const before = node.count('fleet.status_news');
          const window = await measureWindow(() =>
            peers.send({
              kind: 'statuses',
              hostNames: fillNames(hostsCount),
              ratePerSecond: size,
              durationMillis: WINDOW_MILLIS,
            }),
          );
          const newsCount = node.count('fleet.status_news') - before;
          return {
            ...window,
            newsPerSecond: (newsCount * MILLIS_PER_SECOND) / WINDOW_MILLIS,
          };
        },
      );
    }
  })();
}

/** View confirmations asked for a second; electors in the other process. */
export function createConfirmationsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'confirmations';
    override readonly quantity = 'confirmations a second';
    override readonly sizes = [0, 25, 50];
    override async measure(size: number): Promise<ProbeFigures> {
      const {heartbeatMillis} = DEFAULT_CONTROL;
      return withConversation(
        ELECTORS_COUNT,
        heartbeatMillis,
        0,
        async ({node, peers}) => {
          // The connections that stay open are opened first.
          for (let i = 0; i < ELECTORS_COUNT; i += 1) {
            await confirm(node, peers, i);
          }
          const before = await peers.send({kind: 'usage'});
          const window = await measureWindow(() =>
            confirmPaced(node, peers, size),
          );
          const after = await peers.send({kind: 'usage'});
          const cpuMillis = (after.cpuMillis ?? 0) - (before.cpuMillis ?? 0);
          return {
            askerCpuMillisPerSecond: window.cpuMillisPerSecond,
            electorsCpuMillisPerSecond:
              (cpuMillis * MILLIS_PER_SECOND) / WINDOW_MILLIS,
            bytesPerSecond: window.bytesPerSecond,
          };
        },
      );
    }
  })();
}

async function confirmPaced(
  node: ControlNode,
  peers: CapacityPeers,
  ratePerSecond: number,
): Promise<void> {
  const startMillis = performance.now();
  const count = (ratePerSecond * WINDOW_MILLIS) / MILLIS_PER_SECOND;
  for (let i = 0; i < count; i += 1) {
    await confirm(node, peers, i);
    const dueMillis = startMillis + ((i + 1) * WINDOW_MILLIS) / count;
    await sleep(Math.max(0, dueMillis - performance.now()));
  }
  const leftMillis = startMillis + WINDOW_MILLIS - performance.now();
  await sleep(Math.max(0, leftMillis));
}

async function confirm(
  node: ControlNode,
  peers: CapacityPeers,
  turn: number,
): Promise<void> {
  const index = turn % ELECTORS_COUNT;
  const peer = {
    hostName: `peer-${String(index)}`,
    address: ADDRESS,
    controlPort: peers.ports[index] ?? 0,
  };
  const request = {
    hostName: 'measured',
    policyVersion: 0n,
    hostListRevision: 0n,
  };
  await Effect.runPromise(
    node.client.confirmView(peer, request, CONFIRM_TIMEOUT_MILLIS),
  );
}

const PULLED_VERSIONS_COUNT = 5;

/** Bytes of a document that is pulled from a peer. */
export function createPullsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'pulls';
    override readonly quantity = 'document bytes';
    override readonly sizes = [10_000, 100_000, 1_000_000];
    override async measure(size: number): Promise<ProbeFigures> {
      const {heartbeatMillis} = DEFAULT_CONTROL;
      return withConversation(1, heartbeatMillis, 0, async ({node, peers}) => {
        await pull(node, peers, 1, size);
        const beforeBytes = carriedBytes();
        const beforeCpuMillis = readCpuMillis();
        const before = await peers.send({kind: 'usage'});
        for (let i = 0; i < PULLED_VERSIONS_COUNT; i += 1) {
          await pull(node, peers, i + 2, size);
        }
        const after = await peers.send({kind: 'usage'});
        const servedMillis = (after.cpuMillis ?? 0) - (before.cpuMillis ?? 0);
        return {
          wireBytes: (carriedBytes() - beforeBytes) / PULLED_VERSIONS_COUNT,
          pullCpuMillis:
            (readCpuMillis() - beforeCpuMillis) / PULLED_VERSIONS_COUNT,
          // Accepting the document at the server is part of this figure.
          serveCpuMillis: servedMillis / PULLED_VERSIONS_COUNT,
        };
      });
    }
  })();
}

async function pull(
  node: ControlNode,
  peers: CapacityPeers,
  version: number,
  documentBytes: number,
): Promise<void> {
  const document = createPolicyOfBytes(version, documentBytes);
  const policy = Buffer.from(document).toString('utf8');
  await peers.send({kind: 'policy', policy});
  await waitUntil(
    'the version',
    () => node.policyStore.newest()?.version === version,
  );
}

const CHAIN_VERSIONS_COUNT = 5;

/** Nodes in a row that a version crosses; the time is per whole row. */
export function createHopsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'hops';
    override readonly quantity = 'hops';
    override readonly sizes = [1, 4, 8, 16];
    override async measure(size: number): Promise<ProbeFigures> {
      const nodes = await startChain(size + 1);
      try {
        return {crossingMillis: await measureCrossing(nodes)};
      } finally {
        for (const node of nodes) node.stop();
      }
    }
  })();
}

/** Without a list every node keeps its only stream to its only seed. */
async function startChain(count: number): Promise<readonly ControlNode[]> {
  const nodes: ControlNode[] = [];
  for (let index = 0; index < count; index += 1) {
    nodes.push(
      await startControlNode({
        hostName: `node-${String(index)}`,
        seedPeers: nodes.slice(-1).map(node => node.seed),
        control: {...DEFAULT_CONTROL, zonePeersCount: 1, remotePeersCount: 0},
      }),
    );
  }
  return nodes;
}

const CHAIN_DOCUMENT_BYTES = 50_000;

async function measureCrossing(nodes: readonly ControlNode[]): Promise<number> {
  let totalMillis = 0;
  for (let version = 1; version <= CHAIN_VERSIONS_COUNT; version += 1) {
    const document = createPolicyOfBytes(version, CHAIN_DOCUMENT_BYTES);
    const last = nodes.at(-1);
    if (last === undefined) throw new Error('no chain');
    const accepted = new Promise(resolve => {
      const subscription = last.policyStore.onDidAccept(() => {
        subscription.dispose();
        resolve(undefined);
      });
    });
    const startMillis = performance.now();
    nodes[0]?.policyStore.offer(document, 'bench');
    await accepted;
    // The first version also finds connections that are not open yet.
    if (version > 1) totalMillis += performance.now() - startMillis;
    await sleep(MILLIS_PER_SECOND / 4);
  }
  return totalMillis / (CHAIN_VERSIONS_COUNT - 1);
}
