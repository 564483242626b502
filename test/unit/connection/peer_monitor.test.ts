import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {
  PeerLiveness,
  PeerMonitor,
  MonitoredConnection,
} from '../../../src/connection/peer_monitor.js';
import {createPeerMonitor} from '../../../src/connection/peer_monitor.js';
import {waitUntil} from '../../fakes/wait_until.js';

const ENDPOINT = {address: 'p', port: 1};

interface FakeConnection extends MonitoredConnection {
  lastReceivedMillis: number;
  waitingSinceMillis: number | undefined;
}

/** A monitor of one node whose probe replies are given by the test. */
function createFixture(t: ExecutionContext, reply: (probe: number) => boolean) {
  let now = 1000;
  let probesCount = 0;
  let pingsCount = 0;
  const events: string[] = [];
  const connection: FakeConnection = {
    lastReceivedMillis: 0,
    waitingSinceMillis: undefined,
    ping: () => {
      pingsCount += 1;
    },
  };
  const monitor = createPeerMonitor({
    nowMillis: () => now,
    onPeerLost: (peer, hopsCount) => {
      events.push(`lost ${peer.address} ${String(hopsCount)}`);
    },
    onPeerFound: () => {
      events.push('found');
    },
  });
  t.teardown(monitor.dispose);
  const liveness: PeerLiveness = monitor.add({
    endpoint: ENDPOINT,
    detachedHopsCount: 0,
    connections: () => [connection],
    probe: () => {
      probesCount += 1;
      return Promise.resolve(reply(probesCount));
    },
    replaceSilentConnections: sinceMillis => {
      if (connection.lastReceivedMillis >= sinceMillis) return;
      events.push('replaced');
      connection.waitingSinceMillis = undefined;
    },
    suspectHops: () => {
      events.push('failed hops');
      return 1;
    },
  });
  return {
    monitor,
    liveness,
    connection,
    events,
    startRequest: () => {
      connection.waitingSinceMillis = now;
    },
    receiveData: () => {
      connection.lastReceivedMillis = now;
      liveness.recordActivity();
    },
    probesCount: () => probesCount,
    pingsCount: () => pingsCount,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

/** Adds a node that was active before and does not reply to probes. */
function addReferencePeer(monitor: PeerMonitor): () => number {
  const endpoint = {address: 'q', port: 1};
  let probesCount = 0;
  const liveness = monitor.add({
    endpoint,
    detachedHopsCount: 0,
    connections: () => [],
    probe: () => {
      probesCount += 1;
      return Promise.resolve(false);
    },
    replaceSilentConnections: () => undefined,
    suspectHops: () => 0,
  });
  liveness.recordActivity();
  return () => probesCount;
}

test('requests are suspected if the node does not reply', async t => {
  // During a partition, every request to the other zone waited for its deadline: it
  // was sent on an open connection, and silence was not distinguished from slowness.
  const {startRequest, events, advance} = createFixture(t, () => false);
  startRequest();
  advance(500);
  await waitUntil('failed hops', () => events.length === 2);
  t.deepEqual(events, ['failed hops', 'lost p 1']);
});

test('a node that gets no reply from any peer assumes a local fault first', async t => {
  // A slow node attributed its own delay to its peers: it responded to its clients
  // with failures and sent their requests twice.
  const {monitor, liveness, startRequest, events, advance} = createFixture(
    t,
    () => false,
  );
  const referenceProbesCount = addReferencePeer(monitor);
  startRequest();
  advance(500);
  await waitUntil('reference peer probed', () => referenceProbesCount() === 1);
  t.deepEqual(events, []);
  t.false(liveness.isLost);
  advance(1000);
  await waitUntil('lost', () => events.includes('failed hops'));
});

test('a lost node is probed until it replies and is marked as lost meanwhile', async t => {
  // Long after a partition began, every other request still waited for a peer behind
  // it, because requests themselves were used as probes.
  const {liveness, startRequest, events, advance} = createFixture(
    t,
    probe => probe >= 3,
  );
  startRequest();
  advance(500);
  await waitUntil('lost', () => events.includes('failed hops'));
  t.true(liveness.isLost);
  advance(1000);
  await waitUntil('found', () => {
    advance(50);
    return events.includes('found');
  });
  t.false(liveness.isLost);
});

test('requests of a silent connection are resumed if the node replies', async t => {
  // A request hung on a connection that a device between the nodes had dropped
  // silently, while new connections worked.
  const {startRequest, events, advance} = createFixture(t, () => true);
  startRequest();
  advance(500);
  await waitUntil('replaced', () => events.length > 0);
  t.deepEqual(events, ['replaced']);
});

test('a slow upstream is pinged and its connection is kept', async t => {
  const {startRequest, receiveData, advance, probesCount, pingsCount} =
    createFixture(t, () => true);
  startRequest();
  for (let round = 1; round <= 5; round += 1) {
    advance(200);
    await waitUntil('pinged', () => pingsCount() === round);
    receiveData();
  }
  t.is(probesCount(), 0);
});

test('a connection without requests is not pinged', async t => {
  const {advance, probesCount, pingsCount, startRequest} = createFixture(
    t,
    () => true,
  );
  advance(10_000);
  startRequest();
  advance(200);
  await waitUntil('pinged', () => pingsCount() === 1);
  t.is(probesCount(), 0);
});
