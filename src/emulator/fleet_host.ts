/**
 * One host of an emulated fleet: its daemon, its upstream and the fault
 * injecting links in front of them.
 */
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import type {PublishedHost} from '../version/host_list.js';
import type {ArrivalCount, Execution} from './execution_record.js';
import type {FaultyLink, SourceResolver} from './faulty_link.js';
import {createFaultyLink} from './faulty_link.js';
import type {DaemonProgram, HostIdentity} from './fleet_plan.js';
import {LOOPBACK_ADDRESS, sendControlRequest} from './http_support.js';
import type {ManagedProcess, ProcessExit} from './managed_process.js';
import {startProgram} from './managed_process.js';
import type {PortBlock} from './port_block.js';
import type {UpstreamCounts} from './emulated_upstream.js';
import type {UpstreamFault, UpstreamRoute} from './upstream_config.js';

/** Ports of a host, which stay the same over restarts. */
export interface FleetHostPorts {
  readonly caller: number;
  readonly local: number;
  readonly peer: number;
  readonly admin: number;
  readonly upstream: number;
}

/** Links in front of a host's ports. */
export interface FleetHostLinks {
  readonly peer: FaultyLink;
  readonly upstream: FaultyLink;
}

/** Options of a host. */
export interface FleetHostOptions {
  readonly identity: HostIdentity;
  readonly directory: string;
  readonly programDirectory: string;
  /** `daemon/main.js` if absent. */
  readonly daemonProgram: DaemonProgram | undefined;
  readonly platformPort: number;
  readonly slotsCount: number;
  readonly routes: readonly UpstreamRoute[];
  readonly ports: FleetHostPorts;
  readonly links: FleetHostLinks | undefined;
}

/** A host; its upstream runs until the fleet is closed or it is restarted. */
export interface FleetHost {
  readonly identity: HostIdentity;
  readonly ports: FleetHostPorts;
  readonly links: FleetHostLinks | undefined;
  /** Entry of the host in the platform's host list. */
  readonly hostListEntry: PublishedHost;
  /** The most recently started daemon process, running or exited. */
  daemon(): ManagedProcess | undefined;
  startUpstream(): Promise<void>;
  /**
   * Kills the upstream and starts it again under the same name, without held
   * responses, faults or records; the host keeps the earlier executions.
   */
  restartUpstream(): Promise<void>;
  startDaemon(): Promise<void>;
  /** Sends SIGTERM, and SIGKILL after the timeout; resolves at the exit. */
  stopDaemon(timeoutMillis: number): Promise<ProcessExit>;
  killDaemon(): Promise<void>;
  setUpstreamFault(fault: Partial<UpstreamFault>): Promise<void>;
  releaseUpstream(): Promise<void>;
  upstreamCounts(): Promise<UpstreamCounts>;
  /** Executions of all processes of the upstream. */
  executions(): Promise<readonly Execution[]>;
  /** Arrivals at all processes of the upstream. */
  arrivals(): Promise<readonly ArrivalCount[]>;
  /** Kills the daemon, stops the upstream and closes the links. */
  close(): Promise<void>;
}

const STOP_TIMEOUT_MILLIS = 5000;

/** Allocates the ports of a host; rejects when the block is used up. */
export async function allocateHostPorts(
  block: PortBlock,
): Promise<FleetHostPorts> {
  return {
    caller: await block.allocatePort(),
    local: await block.allocatePort(),
    peer: await block.allocatePort(),
    admin: await block.allocatePort(),
    upstream: await block.allocatePort(),
  };
}

/** Opens the links in front of a host's peer and upstream ports. */
export async function openHostLinks(
  ports: FleetHostPorts,
  resolveSource: SourceResolver,
): Promise<FleetHostLinks> {
  return {
    peer: await createFaultyLink({targetPort: ports.peer, resolveSource}),
    upstream: await createFaultyLink({targetPort: ports.upstream}),
  };
}

/** Creates a host without starting its processes. */
export function createFleetHost(options: FleetHostOptions): FleetHost {
  const {identity, ports, links} = options;
  let upstream: ManagedProcess | undefined;
  let daemon: ManagedProcess | undefined;
  const earlierExecutions: Execution[] = [];
  const earlierArrivals: ArrivalCount[] = [];

  const sendControl = (
    method: string,
    path: string,
    content?: unknown,
  ): Promise<unknown> =>
    sendControlRequest(
      Number(upstream?.ready['control']),
      method,
      path,
      content,
    );

  const setAccepting = async (isAccepting: boolean): Promise<void> => {
    await links?.peer.setAccepting(isAccepting);
  };

  const startUpstream = async (): Promise<void> => {
    const file = join(options.directory, `${identity.name}.upstream.json`);
    const config = {
      hostName: identity.name,
      service: identity.service,
      port: ports.upstream,
      localPort: ports.local,
      slotsCount: options.slotsCount,
      routes: options.routes,
    };
    await writeFile(file, JSON.stringify(config));
    upstream = await startProgram({
      name: `upstream of ${identity.name}`,
      file: join(options.programDirectory, 'emulator/upstream_main.js'),
      args: ['--config', file],
    });
  };

  const readExecutions = async (): Promise<readonly Execution[]> =>
    (await sendControl('GET', '/executions')) as Execution[];
  const readArrivals = async (): Promise<readonly ArrivalCount[]> =>
    (await sendControl('GET', '/arrivals')) as ArrivalCount[];

  const restartUpstream = async (): Promise<void> => {
    earlierExecutions.push(...(await readExecutions()));
    earlierArrivals.push(...(await readArrivals()));
    upstream?.signal('SIGKILL');
    await upstream?.exited;
    await startUpstream();
  };

  const startDaemon = async (): Promise<void> => {
    const file = join(options.directory, `${identity.name}.settings.json`);
    await writeFile(file, JSON.stringify(createSettings(options)));
    const program = options.daemonProgram ?? {
      file: join(options.programDirectory, 'daemon/main.js'),
      args: [],
    };
    daemon = await startProgram({
      ...program,
      name: identity.name,
      args: [...program.args, '--settings', file],
    });
    await setAccepting(true);
  };

  const stopDaemon = async (timeoutMillis: number): Promise<ProcessExit> => {
    if (daemon === undefined) return {code: 0, signal: null};
    const exit = await daemon.stop(timeoutMillis);
    await setAccepting(false);
    return exit;
  };

  const killDaemon = async (): Promise<void> => {
    daemon?.signal('SIGKILL');
    await daemon?.exited;
    await setAccepting(false);
  };

  return {
    identity,
    ports,
    links,
    hostListEntry: {
      ...identity,
      address: LOOPBACK_ADDRESS,
      peerPort: links?.peer.port ?? ports.peer,
      state: 'live',
    },
    daemon: () => daemon,
    startUpstream,
    restartUpstream,
    startDaemon,
    stopDaemon,
    killDaemon,
    setUpstreamFault: async fault => {
      await sendControl('PUT', '/fault', fault);
    },
    releaseUpstream: async () => {
      await sendControl('POST', '/release');
    },
    upstreamCounts: async () =>
      (await sendControl('GET', '/counts')) as UpstreamCounts,
    executions: async () => [...earlierExecutions, ...(await readExecutions())],
    arrivals: async () => [...earlierArrivals, ...(await readArrivals())],
    close: async () => {
      await killDaemon();
      await upstream?.stop(STOP_TIMEOUT_MILLIS);
      links?.peer.close();
      links?.upstream.close();
    },
  };
}

/** Returns the content of the daemon's settings file. */
function createSettings(options: FleetHostOptions): object {
  const {identity, ports, links} = options;
  const address = LOOPBACK_ADDRESS;
  return {
    hostName: identity.name,
    service: identity.service,
    availabilityZone: identity.availabilityZone,
    region: identity.region,
    listen: {
      caller: {address, port: ports.caller},
      local: {address, port: ports.local},
      peer: {address, port: ports.peer},
      admin: {address, port: ports.admin},
    },
    upstream: {address, port: links?.upstream.port ?? ports.upstream},
    platformUrl: `http://${address}:${String(options.platformPort)}`,
  };
}
