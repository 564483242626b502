/**
 * Starts a small fleet on this machine, with a process for each daemon, upstream
 * and the platform, and removes its processes and files when closed.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BaseError, describeError} from '../base/errors.js';
import {CONFIGURATION_VERSION_HEADER} from '../connection/operator_listener.js';
import type {HostList, PublishedHostState} from '../version/host_list.js';
import type {Policy} from '../version/policy.js';
import type {LinkMode} from './faulty_link.js';
import type {FleetHost} from './fleet_host.js';
import {
  createFleetHost,
  openHostLinks,
  allocateHostPorts,
} from './fleet_host.js';
import type {FleetPlan, HostIdentity} from './fleet_plan.js';
import {listHosts} from './fleet_plan.js';
import type {HttpResponse} from './http_support.js';
import {
  LOOPBACK_ADDRESS,
  sendControlRequest,
  sendHttpRequest,
} from './http_support.js';
import type {ManagedProcess} from './managed_process.js';
import {startProgram} from './managed_process.js';
import {claimPortBlock} from './port_block.js';
import {createSocketOwnerFinder} from './socket_owner.js';
import type {PlatformCounts, PlatformFault} from './emulated_platform.js';
import {waitFor} from './wait_for.js';

/** A running fleet. */
export interface Fleet {
  readonly hosts: ReadonlyMap<string, FleetHost>;
  /** Throws a BaseError if the plan has no host of this name. */
  host(name: string): FleetHost;
  startDaemon(name: string): Promise<void>;
  /** Publishes a policy; `etagVersion` overrides the version it states. */
  publishPolicy(policy: Policy, etagVersion?: number): Promise<void>;
  /** Publishes bytes as the policy without checking them. */
  publishPolicyBytes(bytes: Uint8Array, version: number): Promise<void>;
  /** Publishes a host list that contains only the given hosts. */
  publishHosts(
    states: ReadonlyMap<string, PublishedHostState>,
  ): Promise<HostList>;
  publishedStates(): ReadonlyMap<string, PublishedHostState>;
  /** `frontName` is the name of an availability zone, or `all`. */
  setPlatformFault(
    frontName: string,
    fault: Partial<PlatformFault>,
  ): Promise<void>;
  platformCounts(): Promise<PlatformCounts>;
  /** Sets the link mode between two availability zones, in both directions. */
  setZoneLinkMode(zoneA: string, zoneB: string, mode: LinkMode): void;
  /** Version in force at a host; 0 if it has none or does not respond. */
  versionInForce(name: string): Promise<number>;
  /** Policy in force; `NO_POLICY` if the host has none or does not respond. */
  policyInForce(name: string): Promise<PolicyInForce>;
  isReady(name: string): Promise<boolean>;
  /**
   * Waits for the hosts one after another, each with the full timeout; by
   * default for all published hosts. Rejects if a host is not ready in time.
   */
  waitUntilReady(
    timeoutMillis: number,
    names?: readonly string[],
  ): Promise<void>;
  /** Kills the daemons, ends the other processes and removes all files. */
  close(): Promise<void>;
}

/** Version and digest of the policy in force at a host. */
export interface PolicyInForce {
  readonly version: number;
  readonly digest: string;
}

/** Reported for a host without a policy. */
export const NO_POLICY: PolicyInForce = {version: 0, digest: ''};

const ADMIN_TIMEOUT_MILLIS = 1000;
const STOP_TIMEOUT_MILLIS = 5000;

/** Directory of the compiled sources. */
const PROGRAM_DIRECTORY = dirname(dirname(fileURLToPath(import.meta.url)));

/**
 * Starts the platform, the upstreams and the daemons, but does not wait until
 * the daemons are ready. Rejects, after a clean-up, if a process fails to start.
 */
export async function launchFleet(plan: FleetPlan): Promise<Fleet> {
  const directory = await mkdtemp(join(tmpdir(), 'fulmarhollow-fleet-'));
  const block = await claimPortBlock();
  const hosts = new Map<string, FleetHost>();
  const states = new Map<string, PublishedHostState>();
  const zoneNames = plan.policy.availabilityZones.map(zone => zone.name);
  let platform: ManagedProcess | undefined;
  let revision = 0;

  const close = async (): Promise<void> => {
    await Promise.all([...hosts.values()].map(host => host.close()));
    await platform?.stop(STOP_TIMEOUT_MILLIS);
    block.dispose();
    await rm(directory, {recursive: true, force: true});
  };

  const sendPlatformControl = (
    method: string,
    path: string,
    content?: unknown,
  ): Promise<unknown> =>
    sendControlRequest(
      Number(platform?.ready['control']),
      method,
      path,
      content,
    );

  const findHost = (name: string): FleetHost => {
    const host = hosts.get(name);
    if (host !== undefined) return host;
    throw new BaseError(`no host named '${name}'`, {
      props: {step: 'find-host', peer: name},
    });
  };

  const runningDaemons = (): ReadonlyMap<number, FleetHost> => {
    const daemons = new Map<number, FleetHost>();
    for (const host of hosts.values()) {
      const daemon = host.daemon();
      if (daemon?.hasExited() === false) daemons.set(daemon.pid, host);
    }
    return daemons;
  };
  const findSocketOwner = createSocketOwnerFinder(() => [
    ...runningDaemons().keys(),
  ]);

  /** Zone of the daemon that opened a connection; `outside` for others. */
  const resolveZone = async (remotePort: number): Promise<string> => {
    const pid = await findSocketOwner(remotePort);
    const host = runningDaemons().get(pid ?? 0);
    return host?.identity.availabilityZone ?? 'outside';
  };

  const createHost = async (identity: HostIdentity): Promise<FleetHost> => {
    const service = plan.services.find(s => s.service === identity.service);
    const policyService = plan.policy.services.find(
      s => s.name === identity.service,
    );
    const ports = await allocateHostPorts(block);
    return createFleetHost({
      identity,
      directory,
      programDirectory: PROGRAM_DIRECTORY,
      daemonProgram: plan.daemonProgram,
      platformPort: frontPortOf(platform, identity.availabilityZone),
      slotsCount: service?.slotsCount ?? policyService?.slotsCount ?? 1,
      routes: service?.routes ?? [],
      ports,
      links: plan.hasLinks
        ? await openHostLinks(ports, resolveZone)
        : undefined,
    });
  };

  const publishPolicyBytes = async (
    bytes: Uint8Array,
    version: number,
  ): Promise<void> => {
    await sendPlatformControl(
      'PUT',
      `/policy?version=${String(version)}`,
      bytes,
    );
  };

  const publishHosts = async (
    nextStates: ReadonlyMap<string, PublishedHostState>,
  ): Promise<HostList> => {
    const entries = [...nextStates].map(([name, state]) => ({
      ...findHost(name).hostListEntry,
      state,
    }));
    states.clear();
    for (const [name, state] of nextStates) states.set(name, state);
    revision += 1;
    const list: HostList = {revision, hosts: entries};
    await sendPlatformControl('PUT', '/hosts', list);
    return list;
  };

  /** Undefined if the host does not respond in time. */
  const sendAdminRequest = async (
    name: string,
    path: string,
  ): Promise<HttpResponse | undefined> => {
    const {admin} = findHost(name).ports;
    try {
      return await sendHttpRequest({
        address: LOOPBACK_ADDRESS,
        port: admin,
        path,
        signal: AbortSignal.timeout(ADMIN_TIMEOUT_MILLIS),
      });
    } catch {
      return undefined;
    }
  };

  const policyInForce = async (name: string): Promise<PolicyInForce> => {
    const response = await sendAdminRequest(name, '/configuration');
    if (response?.statusCode !== 200) return NO_POLICY;
    return {
      version: Number(response.headers[CONFIGURATION_VERSION_HEADER] ?? '0'),
      digest: response.headers.etag ?? '',
    };
  };

  const versionInForce = async (name: string): Promise<number> =>
    (await policyInForce(name)).version;

  const isReady = async (name: string): Promise<boolean> =>
    (await sendAdminRequest(name, '/ready'))?.statusCode === 200;

  const waitUntilReady = async (
    timeoutMillis: number,
    names: readonly string[] = [...states.keys()],
  ): Promise<void> => {
    for (const name of names) {
      if (await waitFor(timeoutMillis, () => isReady(name))) continue;
      const log = findHost(name).daemon()?.log().slice(-5).join('\n');
      throw new BaseError(`${name} is not ready: ${String(log)}`, {
        props: {step: 'wait-until-ready', peer: name},
      });
    }
  };

  const setZoneLinkMode = (
    zoneA: string,
    zoneB: string,
    mode: LinkMode,
  ): void => {
    for (const {identity, links} of hosts.values()) {
      if (links === undefined) throw new BaseError('the fleet has no links');
      const zone = identity.availabilityZone;
      const source =
        zone === zoneA ? zoneB : zone === zoneB ? zoneA : undefined;
      if (source === undefined) continue;
      links.peer.setMode(source, mode);
    }
  };

  try {
    platform = await startPlatform(zoneNames);
    const spareNames = new Set(plan.spareHosts);
    for (const identity of listHosts(plan)) {
      hosts.set(identity.name, await createHost(identity));
      if (!spareNames.has(identity.name)) states.set(identity.name, 'live');
    }
    await publishPolicyBytes(encodeJson(plan.policy), plan.policy.version);
    await publishHosts(new Map(states));
    await waitForAll([...hosts.values()].map(host => host.startUpstream()));
    await waitForAll(
      [...states.keys()].map(name => findHost(name).startDaemon()),
    );
  } catch (error) {
    await close();
    throw new BaseError(`fleet did not start: ${describeError(error)}`, {
      cause: error,
      props: {step: 'launch-fleet'},
    });
  }

  return {
    hosts,
    host: findHost,
    startDaemon: name => findHost(name).startDaemon(),
    publishPolicy: (policy, etagVersion = policy.version) =>
      publishPolicyBytes(encodeJson(policy), etagVersion),
    publishPolicyBytes,
    publishHosts,
    publishedStates: () => new Map(states),
    setPlatformFault: async (frontName, fault) => {
      await sendPlatformControl('PUT', `/faults/${frontName}`, fault);
    },
    platformCounts: async () =>
      (await sendPlatformControl('GET', '/counts')) as PlatformCounts,
    setZoneLinkMode,
    versionInForce,
    policyInForce,
    isReady,
    waitUntilReady,
    close,
  };
}

/**
 * Like `Promise.all`, but waits for all tasks even if one fails, so that `close`
 * also reaches the processes that were still starting.
 */
async function waitForAll(tasks: readonly Promise<void>[]): Promise<void> {
  await Promise.allSettled(tasks);
  await Promise.all(tasks);
}

function startPlatform(fronts: readonly string[]): Promise<ManagedProcess> {
  return startProgram({
    name: 'platform',
    file: join(PROGRAM_DIRECTORY, 'emulator/platform_main.js'),
    args: fronts.flatMap(name => ['--front', `${name}=0`]),
  });
}

function frontPortOf(
  platform: ManagedProcess | undefined,
  name: string,
): number {
  const ports = platform?.ready['fronts'] as Readonly<Record<string, number>>;
  return ports[name] ?? 0;
}

function encodeJson(content: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(content));
}
