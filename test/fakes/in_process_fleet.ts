/**
 * Data paths of several hosts in one process, without control traffic: the
 * policy and the host list are handed to each directly.
 */
import {request as startRequest} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';
import {createTimeSource} from '../../src/base/time_source.js';
import type {DataPath} from '../../src/daemon/data_path.js';
import {openDataPath} from '../../src/daemon/data_path.js';
import type {KeyParts} from '../../src/daemon/key_parts.js';
import {createKeyParts} from '../../src/daemon/key_parts.js';
import type {FleetView} from '../../src/process/fleet_view.js';
import {createFleetView} from '../../src/process/in_memory_fleet_view.js';
import {createPolicyStore} from '../../src/process/in_memory_policy_store.js';
import {parseSettings} from '../../src/process/settings_schema.js';
import {createStateDump} from '../../src/process/state_dump.js';
import type {CountingMetrics} from './counting_metrics.js';
import {createCountingMetrics} from './counting_metrics.js';
import {settingsBytes} from './minimal_settings.js';
import {encodeDocument} from './policy_documents.js';
import type {ScriptedUpstream} from './scripted_upstream.js';
import {startScriptedUpstream} from './scripted_upstream.js';

/** One host of the fleet. */
export interface TestHost {
  readonly name: string;
  readonly path: DataPath;
  readonly keys: KeyParts;
  readonly fleet: FleetView;
  readonly upstream: ScriptedUpstream;
  readonly metrics: CountingMetrics;
}

/** Where a host of the fleet stands. */
export interface TestHostPlace {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
}

/** A host that is listed but not run: a test plays its node. */
export interface ListedPeer extends TestHostPlace {
  readonly peerPort: number;
}

/** What a fleet may have besides its places. */
export interface TestFleetOptions {
  readonly listedPeers?: readonly ListedPeer[];
  /** Fields that replace those of the minimal settings. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** The fleet. */
export interface TestFleet {
  readonly hosts: readonly TestHost[];
  host(name: string): TestHost;
  dispose(): Promise<void>;
}

/** Opens the data path of every place under one policy. */
export async function startTestFleet(
  policyBytes: Uint8Array,
  places: readonly TestHostPlace[],
  {listedPeers = [], settings = {}}: TestFleetOptions = {},
): Promise<TestFleet> {
  const hosts = await Promise.all(
    places.map(place => startHost(place, policyBytes, settings)),
  );
  const runPeers = hosts.map(({path}, index) => ({
    ...(places[index] as TestHostPlace),
    peerPort: path.peerPort,
  }));
  const listBytes = encodeDocument({
    revision: 1,
    hosts: [...runPeers, ...listedPeers].map((place, index) => ({
      name: place.name,
      service: place.service,
      availabilityZone: place.zone,
      region: 'north',
      address: '127.0.0.1',
      peerPort: place.peerPort,
      controlPort: index + 1,
      state: 'live',
    })),
  });
  for (const {fleet, name} of hosts) {
    const result = fleet.offerList(listBytes, 'test');
    if (result.kind !== 'accepted') {
      throw new Error(`${name}: ${JSON.stringify(result)}`);
    }
  }
  return {
    hosts,
    host: name => {
      const found = hosts.find(host => host.name === name);
      if (found === undefined) throw new Error(`no host ${name}`);
      return found;
    },
    dispose: async () => {
      for (const {path, keys, upstream} of hosts) {
        await path.close();
        path.dispose();
        keys.dispose();
        await upstream.close();
      }
    },
  };
}

async function startHost(
  place: TestHostPlace,
  policyBytes: Uint8Array,
  replaced: Readonly<Record<string, unknown>>,
): Promise<TestHost> {
  const upstream = await startScriptedUpstream();
  const parsed = parseSettings(
    settingsBytes({
      hostName: place.name,
      service: place.service,
      availabilityZone: place.zone,
      region: 'north',
      upstream: {address: '127.0.0.1', port: upstream.port},
      ...replaced,
    }),
  );
  if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed));
  const {settings} = parsed;
  const time = createTimeSource();
  const metrics = createCountingMetrics();
  const stateDump = createStateDump();
  const policies = createPolicyStore({time, metrics});
  const fleet = createFleetView({time, metrics});
  const shared = {settings, policies, fleet, time, metrics, stateDump};
  const keys = createKeyParts(shared);
  const path = await openDataPath({...shared, keys});
  const offered = policies.offer(policyBytes, 'test');
  if (offered.kind !== 'accepted') throw new Error(JSON.stringify(offered));
  return {name: place.name, path, keys, fleet, upstream, metrics};
}

/** What a caller sends. */
export interface CallerRequest {
  readonly port: number;
  readonly service: string;
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** What a caller received; `isComplete` is false when it broke off. */
export interface CallerAnswer {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Sends one request on a connection of its own. */
export async function sendAsCaller(
  options: CallerRequest,
): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const request = startRequest(
      {
        agent: false,
        host: '127.0.0.1',
        port: options.port,
        method: options.method ?? 'GET',
        path: options.path,
        headers: {host: options.service, ...options.headers},
      },
      response => {
        const chunks: Buffer[] = [];
        const finish = (): void => {
          resolve({
            statusCode: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            isComplete: response.complete,
          });
        };
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', finish);
        response.on('error', finish);
      },
    );
    request.on('error', reject);
    request.end(options.body);
  });
}
