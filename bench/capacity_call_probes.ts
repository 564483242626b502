/**
 * What a call costs the two nodes on its way.
 */
import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {startTestFleet} from '../test/fakes/in_process_fleet.js';
import type {TestFleet} from '../test/fakes/in_process_fleet.js';
import {startScriptedUpstream} from '../test/fakes/scripted_upstream.js';
import type {ScriptedUpstream} from '../test/fakes/scripted_upstream.js';
import {waitUntil} from '../test/fakes/wait_until.js';
import {
  createPolicy,
  encode,
  firstPathOf,
  serviceOf,
} from './capacity_documents.js';
import {readLiveBytes} from './capacity_memory.js';
import type {ProbeFigures} from './capacity_probe.js';
import {CapacityProbe} from './capacity_probe.js';
import {startLatencyFleet} from './latency_fleet.js';
import {sendPacedCalls} from './paced_calls.js';
import {readProcessUsage} from './process_usage.js';

const MILLIS_PER_SECOND = 1000;

/** The same at every rate: code that has run less is slower. */
const WARM_UP_PER_SECOND = 400;
const WARM_UP_MILLIS = 4_000;
const WINDOW_MILLIS = 4_000;

/** Calls a second between two nodes, each in a process of its own. */
export function createCallsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'calls';
    override readonly quantity = 'calls a second';
    override readonly sizes = [25, 100, 200, 400];
    override async measure(size: number): Promise<ProbeFigures> {
      const fleet = await startLatencyFleet();
      try {
        const paths = [{name: 'nodes', port: fleet.nodePort}];
        const pids = [fleet.callerNodePid, fleet.upstreamNodePid];
        await sendPacedCalls({
          paths,
          ratePerSecond: WARM_UP_PER_SECOND,
          durationMillis: WARM_UP_MILLIS,
        });
        const before = await Promise.all(pids.map(readProcessUsage));
        const startMillis = performance.now();
        const latencies = await sendPacedCalls({
          paths,
          ratePerSecond: size,
          durationMillis: WINDOW_MILLIS,
        });
        const after = await Promise.all(pids.map(readProcessUsage));
        const seconds = (performance.now() - startMillis) / MILLIS_PER_SECOND;
        const cpuOf = (index: number): number =>
          ((after[index]?.cpuMillis ?? 0) - (before[index]?.cpuMillis ?? 0)) /
          seconds;
        return {
          callerNodeCpuMillisPerSecond: cpuOf(0),
          upstreamNodeCpuMillisPerSecond: cpuOf(1),
          callerNodeResidentBytes: after[0]?.residentBytes ?? 0,
          upstreamNodeResidentBytes: after[1]?.residentBytes ?? 0,
          failedCount: latencies[0]?.failedCount ?? 0,
        };
      } finally {
        await fleet.close();
      }
    }
  })();
}

const CALLER_HOST = 'caller-host';
const UPSTREAM_HOST = 'upstream-host';
const SOCKETS_COUNT = 512;
const POLICY = createPolicy(1, 2, 1);
const CALLED = POLICY.services.at(-1);
const REQUEST_PATH = CALLED === undefined ? '' : firstPathOf(CALLED);

/**
 * Calls in progress. All parts are in the measuring process; what the client
 * and the upstream need is measured without nodes and taken off.
 */
export function createInProgressProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'in-progress';
    override readonly quantity = 'calls in progress';
    override readonly sizes = [10, 50, 100, 200];
    override async measure(size: number): Promise<ProbeFigures> {
      const direct = await measureDirect(size);
      const fleet = await startFleet();
      try {
        const upstream = fleet.host(UPSTREAM_HOST).upstream;
        const port = fleet.host(CALLER_HOST).path.callerPort;
        const through = await measureHeld(upstream, port, size);
        return {
          bothNodesLiveBytes: through.heldBytes - direct.heldBytes,
          bothNodesIdleConnectionsLiveBytes:
            through.idleBytes - direct.idleBytes,
        };
      } finally {
        await fleet.dispose();
      }
    }
  })();
}

async function measureDirect(size: number): Promise<HeldCalls> {
  const upstream = await startScriptedUpstream();
  try {
    return await measureHeld(upstream, upstream.port, size);
  } finally {
    await upstream.close();
  }
}

async function startFleet(): Promise<TestFleet> {
  const services = POLICY.services.map(service => ({
    ...service,
    slotsCount: SOCKETS_COUNT,
    connectionsCount: 4 * SOCKETS_COUNT,
    progressTimeoutMillis: 60_000,
    routes: service.routes.map(route => ({...route, deadlineMillis: 60_000})),
  }));
  return startTestFleet(
    encode({...POLICY, services}),
    [
      {name: CALLER_HOST, service: serviceOf(0), zone: 'a'},
      {name: UPSTREAM_HOST, service: serviceOf(1), zone: 'a'},
    ],
    {settings: {limits: {socketsPerPeerCount: SOCKETS_COUNT}}},
  );
}

interface HeldCalls {
  /** Live bytes that the calls in progress need. */
  readonly heldBytes: number;
  /** Live bytes of their idle connections after they ended. */
  readonly idleBytes: number;
}

async function measureHeld(
  upstream: ScriptedUpstream,
  port: number,
  size: number,
): Promise<HeldCalls> {
  const held: http.ServerResponse[] = [];
  upstream.setScript((_request, response) => {
    held.push(response);
  });
  const agent = new http.Agent({keepAlive: true});
  const answerFirst = async (): Promise<void> => {
    const call = sendCall(agent, port);
    await waitUntil('the first call', () => held.length === 1);
    held.pop()?.end('done');
    await call;
  };
  await answerFirst();
  const startBytes = await readLiveBytes();
  const calls = Array.from({length: size}, () => sendCall(agent, port));
  await waitUntil('all calls', () => held.length === size);
  const heldBytes = (await readLiveBytes()) - startBytes;
  for (const response of held.splice(0)) response.end('done');
  const statuses = await Promise.all(calls);
  if (statuses.some(status => status !== 200)) throw new Error('a call failed');
  await sleep(100);
  const idleBytes = (await readLiveBytes()) - startBytes;
  agent.destroy();
  return {heldBytes, idleBytes};
}

function sendCall(agent: http.Agent, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        agent,
        host: '127.0.0.1',
        port,
        path: REQUEST_PATH,
        headers: {host: serviceOf(1)},
      },
      response => {
        response.resume();
        response.on('end', () => {
          resolve(response.statusCode ?? 0);
        });
      },
    );
    request.on('error', reject);
    request.end();
  });
}
