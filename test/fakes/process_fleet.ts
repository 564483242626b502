/**
 * A fleet of node processes with a fake upstream each and one fake store. Nodes can be
 * killed and restarted.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import type {ExecutionContext} from 'ava';
import type {ClientResponse, ClientRequest} from './fleet_client.js';
import {FLEET_HOST_NAME, sendRequest} from './fleet_client.js';
import {freePorts} from './free_ports.js';
import type {HopLink, HopLinks} from './hop_links.js';
import {openHopLinks} from './hop_links.js';
import type {NodeProcess} from './node_process.js';
import {startNodeProcess} from './node_process.js';
import {SAFE_PATH} from './platform_fleet.js';
import type {FakeUpstream} from './fake_upstream.js';
import {startFakeUpstream} from './fake_upstream.js';
import type {FakeStore, StoreEndpoint} from './fake_store.js';
import {createFakeStore} from './fake_store.js';
import {waitUntil} from './wait_until.js';

const PROGRAM_PATH = resolve('dist/platform/main.js');

/** Default start time of upstreams. */
const DEFAULT_BORN_MILLIS = 1_790_000_000_000;

export type LogLine = Readonly<Record<string, unknown>>;

/** A host with the current process of its node. */
export interface ProcessHost {
  readonly address: string;
  readonly upstream: FakeUpstream;
  readonly storeEndpoint: StoreEndpoint;
  /** Log lines of the current process. */
  lines: LogLine[];
  /** Log lines of all processes of the host. */
  readonly allLines: LogLine[];
  process: NodeProcess;
}

/** Fields of an upstream's entry in the store. */
export interface PublishedEntry {
  readonly id?: string;
  /** Unix time of the start; the same for all entries of one start. */
  readonly bornMillis?: number;
  readonly seq: number;
  readonly state?: string;
  readonly slots?: number;
}

export interface ProcessFleet {
  readonly store: FakeStore;
  readonly hosts: readonly ProcessHost[];
  readonly outboundPort: number;
  /** Relays between the nodes, if the fleet has them. */
  readonly links: HopLinks | undefined;
  configure(version: number): void;
  publish(index: number, entry: PublishedEntry): void;
  /** Kills a node with SIGKILL and starts it again. */
  restart(index: number): void;
  /** Stops a node with SIGTERM and starts it again when it has ended. */
  stopAndRestart(index: number): Promise<void>;
  send(index: number, request: ClientRequest): Promise<ClientResponse>;
}

export interface ProcessFleetOptions {
  /** Grace period of a stop. */
  readonly graceSeconds?: number;
  /** Connects the nodes by relays instead of directly. */
  readonly hasLinks?: boolean;
  /** Slots of each upstream. */
  readonly slots?: number;
}

/** The last fleets of a test process use separate blocks of addresses, from here on. */
const FIRST_BLOCK = 240;
const BLOCKS_COUNT = 16;

let fleetsCount = 0;

/** Returns the configuration versions that the current process has logged as accepted. */
export function activeVersions({lines}: ProcessHost): readonly unknown[] {
  return lines
    .filter(({event}) => event === 'configuration-accepted')
    .map(line => line['configurationVersion']);
}

/** Waits until the nodes of all hosts have accepted a version. */
export async function waitForVersion(
  hosts: readonly ProcessHost[],
  version: number,
): Promise<void> {
  await waitUntil(`version ${String(version)}`, () =>
    hosts.every(host => activeVersions(host).includes(version)),
  );
}

/** Waits until the nodes of all hosts have logged that all upstreams joined. */
export async function waitForAllUpstreams(
  hosts: readonly ProcessHost[],
): Promise<void> {
  await waitUntil('all listed', () =>
    hosts.every(
      ({lines}) =>
        lines.filter(({event}) => event === 'upstream-joined').length ===
        hosts.length,
    ),
  );
}

/**
 * Starts one host for each of these services, with routes for them; all are stopped when
 * the test ends.
 */
export async function startProcessFleet(
  t: ExecutionContext,
  services: readonly string[],
  paths: readonly object[] = [SAFE_PATH],
  options: ProcessFleetOptions = {},
): Promise<ProcessFleet> {
  const blockIndex = FIRST_BLOCK + (fleetsCount % BLOCKS_COUNT);
  const block = `127.${String(process.pid % 200)}.${String(blockIndex)}`;
  fleetsCount += 1;
  const store = createFakeStore();
  const directory = mkdtempSync(join(tmpdir(), 'nodes-'));
  const addressOf = (index: number): string => `${block}.${String(index + 1)}`;
  const {hasLinks = false, graceSeconds = 1, slots: usualSlots = 20} = options;
  const [app = 0, outbound = 0, ready = 0, inbound = 0, ...inboundPorts] =
    await freePorts(`${block}.1`, 4 + services.length);
  /** A node expects its own port at all others, where the relay from it listens. */
  const inboundPortOf = (index: number): number =>
    hasLinks ? inboundPorts[index]! : inbound;
  const links = hasLinks
    ? await openHopLinks(linksOf(services.length, addressOf, inboundPortOf))
    : undefined;
  const hosts: ProcessHost[] = [];
  t.teardown(async () => {
    for (const host of hosts) {
      host.process.kill();
      await host.upstream.close();
    }
    links?.close();
    store.close();
    rmSync(directory, {recursive: true, force: true});
  });

  const configure = (version: number): void => {
    store.put('op/config', {
      version: version.toString(16).padStart(8, '0'),
      services: [...new Set(services)].map(name => ({name})),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
      virtualHosts: [{host: FLEET_HOST_NAME, paths}],
    });
  };
  const publish = (index: number, entry: PublishedEntry): void => {
    const {id = `i-${String(index)}`, bornMillis = DEFAULT_BORN_MILLIS} = entry;
    const {seq, state = 'ready', slots = usualSlots} = entry;
    const address = `${addressOf(index)}:${String(app)}`;
    store.put(`servers/${id}`, {
      born: bornMillis,
      address,
      info: {
        service: services[index],
        version: 'v1',
        zone: 'zone-a',
        slots,
      },
      status: {state, seq, coldLeftS: 0},
    });
  };
  const startNode = (
    index: number,
    {
      storeEndpoint,
      lines,
      allLines,
    }: Pick<ProcessHost, 'storeEndpoint' | 'lines' | 'allLines'>,
  ) =>
    startNodeProcess({
      graceSeconds,
      programPath: PROGRAM_PATH,
      runtimeFlags: [],
      directory,
      address: addressOf(index),
      service: services[index] ?? '',
      ports: {
        app,
        inbound: inboundPortOf(index),
        outbound,
        ready,
        store: storeEndpoint.port,
      },
      onLine: line => {
        lines.push(line);
        allLines.push(line);
      },
    });

  configure(1);
  for (const index of services.keys()) {
    const address = addressOf(index);
    const id = `i-${String(index)}`;
    const upstream = await startFakeUpstream({id, address, port: app});
    publish(index, {seq: 1});
    const storeEndpoint = await store.openEndpoint();
    const lines: LogLine[] = [];
    const allLines: LogLine[] = [];
    const host = {address, upstream, storeEndpoint, lines, allLines};
    hosts.push({...host, process: startNode(index, host)});
  }
  const startAgain = (index: number, host: ProcessHost): void => {
    host.lines = [];
    host.process = startNode(index, host);
  };
  return {
    store,
    hosts,
    outboundPort: outbound,
    links,
    configure,
    publish,
    restart: index => {
      const host = hosts[index];
      if (host === undefined) return;
      host.process.kill();
      startAgain(index, host);
    },
    stopAndRestart: async index => {
      const host = hosts[index];
      if (host === undefined) return;
      const stopping = host.process;
      stopping.stop();
      await stopping.ended;
      if (host.process === stopping) startAgain(index, host);
    },
    send: (index, request) =>
      sendRequest(hosts[index]?.address ?? '', outbound, request),
  };
}

function linksOf(
  nodesCount: number,
  addressOf: (index: number) => string,
  portOf: (index: number) => number,
): readonly HopLink[] {
  const indexes = [...Array(nodesCount).keys()];
  return indexes.flatMap(toIndex =>
    indexes
      .filter(fromIndex => fromIndex !== toIndex)
      .map(fromIndex => ({
        fromIndex,
        toIndex,
        address: addressOf(toIndex),
        port: portOf(fromIndex),
        targetPort: portOf(toIndex),
      })),
  );
}
