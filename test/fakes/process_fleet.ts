/**
 * Hosts of one upstream and one node process each beside one store; nodes may be
 * killed and started again.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import type {ExecutionContext} from 'ava';
import type {ClientResponse, ClientRequest} from './fleet_client.js';
import {FLEET_HOST_NAME, sendRequest} from './fleet_client.js';
import {freePorts} from './free_ports.js';
import type {NodeProcess} from './node_process.js';
import {startNodeProcess} from './node_process.js';
import {SAFE_PATH} from './platform_fleet.js';
import type {FakeUpstream} from './fake_upstream.js';
import {startFakeUpstream} from './fake_upstream.js';
import type {FakeStore, StoreEndpoint} from './fake_store.js';
import {createFakeStore} from './fake_store.js';
import {waitUntil} from './wait_until.js';

const PROGRAM = resolve('dist/platform/main.js');

/** Start of upstreams where the entry does not say. */
const BORN_MILLIS = 1_790_000_000_000;

type Line = Readonly<Record<string, unknown>>;

/** One host with its process, which may start again. */
export interface ProcessHost {
  readonly address: string;
  readonly upstream: FakeUpstream;
  readonly storeEndpoint: StoreEndpoint;
  /** Lines of the process that runs now. */
  lines: Line[];
  process: NodeProcess;
}

/** What an entry of an upstream says. */
export interface PublishedEntry {
  readonly id?: string;
  /** Millisecond of its start; the same for all entries of one start. */
  readonly bornMillis?: number;
  readonly seq: number;
  readonly state?: string;
}

/** The fleet. */
export interface ProcessFleet {
  readonly store: FakeStore;
  readonly hosts: readonly ProcessHost[];
  configure(version: number): void;
  publish(index: number, entry: PublishedEntry): void;
  /** Kills a node and starts it again. */
  restart(index: number): void;
  send(index: number, request: ClientRequest): Promise<ClientResponse>;
}

/** Fleets of one test process use address blocks of their own. */
const FIRST_BLOCK = 240;

let fleetsCount = 0;

/** Versions that the process that runs now has brought into force. */
export function activeVersions({lines}: ProcessHost): readonly unknown[] {
  return lines
    .filter(({event}) => event === 'configuration-accepted')
    .map(line => line['configurationVersion']);
}

/** Waits until all hosts have brought a version into force. */
export async function waitForVersion(
  hosts: readonly ProcessHost[],
  version: number,
): Promise<void> {
  await waitUntil(`version ${String(version)}`, () =>
    hosts.every(host => activeVersions(host).includes(version)),
  );
}

/** Waits until all hosts know all upstreams. */
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

/** Starts hosts of these services beside one store; all end with the test. */
export async function startProcessFleet(
  t: ExecutionContext,
  services: readonly string[],
): Promise<ProcessFleet> {
  const block = `127.${String(process.pid % 200)}.${String(FIRST_BLOCK + fleetsCount)}`;
  fleetsCount += 1;
  const store = createFakeStore();
  const directory = mkdtempSync(join(tmpdir(), 'nodes-'));
  const [app = 0, inbound = 0, outbound = 0, ready = 0] = await freePorts(
    `${block}.1`,
    4,
  );
  const hosts: ProcessHost[] = [];
  t.teardown(async () => {
    for (const host of hosts) {
      host.process.kill();
      await host.upstream.close();
    }
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
      virtualHosts: [{host: FLEET_HOST_NAME, paths: [SAFE_PATH]}],
    });
  };
  const publish = (index: number, entry: PublishedEntry): void => {
    const {id = `i-${String(index)}`, bornMillis = BORN_MILLIS} = entry;
    const {seq, state = 'ready'} = entry;
    const address = `${block}.${String(index + 1)}:${String(app)}`;
    store.put(`servers/${id}`, {
      born: bornMillis,
      address,
      info: {
        service: services[index],
        version: 'v1',
        zone: 'zone-a',
        slots: 20,
      },
      status: {state, seq, coldLeftS: 0},
    });
  };
  const start = (index: number, storeEndpoint: StoreEndpoint, lines: Line[]) =>
    startNodeProcess({
      programPath: PROGRAM,
      runtimeFlags: [],
      directory,
      address: `${block}.${String(index + 1)}`,
      service: services[index] ?? '',
      ports: {app, inbound, outbound, ready, store: storeEndpoint.port},
      onLine: line => lines.push(line),
    });

  configure(1);
  for (const index of services.keys()) {
    const address = `${block}.${String(index + 1)}`;
    const id = `i-${String(index)}`;
    const upstream = await startFakeUpstream({id, address, port: app});
    publish(index, {seq: 1});
    const storeEndpoint = await store.openEndpoint();
    const lines: Line[] = [];
    const process = start(index, storeEndpoint, lines);
    hosts.push({address, upstream, storeEndpoint, lines, process});
  }
  return {
    store,
    hosts,
    configure,
    publish,
    restart: index => {
      const host = hosts[index];
      if (host === undefined) return;
      host.process.kill();
      host.lines = [];
      host.process = start(index, host.storeEndpoint, host.lines);
    },
    send: (index, request) =>
      sendRequest(hosts[index]?.address ?? '', outbound, request),
  };
}
