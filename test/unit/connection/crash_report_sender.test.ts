import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import test from 'ava';
import {bindListener} from '../../../src/connection/bind_listener.js';
import {openHopListener} from '../../../src/connection/hop_listener.js';
import {createRemoteExecution} from '../../../src/connection/remote_execution.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createPeerPositions} from '../../../src/process/membership/peer_positions.js';
import {encodeCrashReport} from '../../../src/protocol/crash_report_codec.js';
import {waitUntil} from '../../fakes/wait_until.js';

const ADDRESS = '127.0.0.1';
const noop = (): void => undefined;

/** A constant time, so that no idle connection expires. */
const nowMillis = (): number => 0;

const REPORT = encodeCrashReport({
  digest: '1.a',
  crashes: [],
  summaries: [],
  wantedIds: [],
});

function createSender(onCrashReport: (report: Buffer) => void) {
  return createRemoteExecution({
    loadTable: createLoadTable(nowMillis),
    peerPositions: createPeerPositions(),
    nowMillis,
    onPeerLost: noop,
    onPeerFound: noop,
    onCrashReport: (_peer, report) => {
      onCrashReport(report);
    },
    onConnectionReplaced: noop,
    onResent: noop,
  });
}

test('a report gets a response and leaves no open connection', async t => {
  // A connection that stayed open would be used for requests. Behind a partition
  // they would get no response, where a new connection fails immediately.
  const sockets = new Set<Socket>();
  const listener = await openHopListener({
    endpoint: {address: ADDRESS, port: 0},
    instanceId: 'first',
    bodyBytes: () => 0,
    handle: () => Promise.resolve(),
    loads: () => [],
    acceptRelayQuery: () => false,
    receiveCrashReport: report => report,
    answerQuotaReport: () => undefined,
    nowMillis,
    onResumed: () => undefined,
    onMalformed: peer => {
      t.fail(`malformed message from ${peer}`);
    },
  });
  // Proxy that tracks the connections to the listener.
  const proxy = createServer(clientSocket => {
    sockets.add(clientSocket);
    clientSocket.on('close', () => sockets.delete(clientSocket));
    const listenerSocket = connect({host: ADDRESS, port: listener.port});
    listenerSocket.on('error', noop);
    clientSocket.on('error', noop);
    clientSocket.pipe(listenerSocket).pipe(clientSocket);
  });
  const port = await bindListener(proxy, {address: ADDRESS, port: 0});
  const reports: Buffer[] = [];
  const sender = createSender(report => reports.push(report));
  t.teardown(async () => {
    sender.dispose();
    proxy.close();
    await listener.close();
  });
  sender.sendCrashReport({address: ADDRESS, port}, REPORT);
  await waitUntil('response', () => reports.length === 1);
  t.deepEqual(reports[0], REPORT);
  await waitUntil('connections closed', () => sockets.size === 0);
});
