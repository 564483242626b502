/**
 * The processes of the latency measurement: a node without work of its own, a
 * node with the upstream, and the upstream.
 */
import type {Fleet} from '../src/emulator/fleet_launcher.js';
import {launchFleet} from '../src/emulator/fleet_launcher.js';
import {createSmallPolicy} from '../src/emulator/small_deployment.js';
import type {Policy, Service} from '../src/version/policy.js';

/** The one request that is measured. */
export const MEASURED = {
  service: 'records',
  method: 'POST',
  path: '/records',
  requestBytes: 500,
  answerBytes: 2000,
} as const;

/** Ports a client sends to, and the processes on the way. */
export interface LatencyFleet {
  /** The upstream itself. */
  readonly directPort: number;
  /** Caller listener of a node on another host than the upstream. */
  readonly nodePort: number;
  /** Process of the node that callers talk to. */
  readonly callerNodePid: number;
  /** Process of the node on the upstream's host. */
  readonly upstreamNodePid: number;
  close(): Promise<void>;
}

const ENTRY_SERVICE = 'desk';
const READY_LIMIT_MILLIS = 30_000;

/** More than are ever in progress, so that no call waits for a slot. */
const SLOTS_COUNT = 256;

/** Starts the processes and waits until calls pass. */
export async function startLatencyFleet(): Promise<LatencyFleet> {
  const fleet = await launchFleet({
    policy: createPolicy(),
    services: [
      {service: ENTRY_SERVICE, hostsPerZoneCount: 1, routes: []},
      {
        service: MEASURED.service,
        hostsPerZoneCount: 1,
        routes: [
          {
            method: MEASURED.method,
            path: MEASURED.path,
            serviceMillis: 0,
            answerBytes: MEASURED.answerBytes,
          },
        ],
      },
    ],
    hasLinks: false,
  });
  try {
    await fleet.waitUntilReady(READY_LIMIT_MILLIS);
  } catch (error) {
    await fleet.close();
    throw error;
  }
  const entry = fleet.host(`${ENTRY_SERVICE}-a-1`);
  const callee = fleet.host(`${MEASURED.service}-a-1`);
  return {
    directPort: callee.ports.upstream,
    nodePort: entry.ports.caller,
    callerNodePid: pidOf(fleet, entry.identity.name),
    upstreamNodePid: pidOf(fleet, callee.identity.name),
    close: fleet.close,
  };
}

function pidOf(fleet: Fleet, hostName: string): number {
  return fleet.host(hostName).daemon()?.pid ?? 0;
}

function createPolicy(): Policy {
  return {
    ...createSmallPolicy(1),
    services: [createService(ENTRY_SERVICE), createService(MEASURED.service)],
  };
}

function createService(name: string): Service {
  return {
    name,
    slotsCount: SLOTS_COUNT,
    connectionsCount: 2 * SLOTS_COUNT,
    queueCount: SLOTS_COUNT,
    queueWaitMillis: 500,
    progressTimeoutMillis: 2000,
    routes: [
      {
        name: 'write-record',
        method: MEASURED.method,
        path: MEASURED.path,
        className: 'records',
        repeat: 'idempotent',
        isKeyRequired: false,
        deadlineMillis: 5000,
        retryBound: 1,
      },
    ],
  };
}
