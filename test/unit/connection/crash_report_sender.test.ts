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
const NOTHING = (): void => undefined;

/** A clock that stands still, so that no idle connection expires. */
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
    onPeerLost: NOTHING,
    onPeerFound: NOTHING,
    onCrashReport: (_peer, report) => {
      onCrashReport(report);
    },
    onConnectionReplaced: NOTHING,
  });
}

test('a report is answered, and leaves no connection on which requests would be sent', async t => {
  // Guards against requests on idle connections that a partition has silenced, where a
  // new connection would have failed at once.
  const sockets = new Set<Socket>();
  const listener = await openHopListener({
    endpoint: {address: ADDRESS, port: 0},
    instanceId: 'first',
    bodyBytes: () => 0,
    handle: () => Promise.resolve(),
    loads: () => [],
    answerRelayQuery: () => undefined,
    receiveCrashReport: report => report,
    answerQuotaReport: () => undefined,
    nowMillis,
    onMalformed: peer => {
      t.fail(`malformed message from ${peer}`);
    },
  });
  // Counts the connections that pass on the way to the listener.
  const front = createServer(near => {
    sockets.add(near);
    near.on('close', () => sockets.delete(near));
    const far = connect({host: ADDRESS, port: listener.port});
    far.on('error', NOTHING);
    near.on('error', NOTHING);
    near.pipe(far).pipe(near);
  });
  const port = await bindListener(front, {address: ADDRESS, port: 0});
  const reports: Buffer[] = [];
  const sender = createSender(report => reports.push(report));
  t.teardown(async () => {
    sender.dispose();
    front.close();
    await listener.close();
  });
  sender.sendCrashReport({address: ADDRESS, port}, REPORT);
  await waitUntil('answer', () => reports.length === 1);
  t.deepEqual(reports[0], REPORT);
  await waitUntil('no connection', () => sockets.size === 0);
});
