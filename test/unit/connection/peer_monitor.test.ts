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

/** A watch over one node whose replies a test chooses. */
function createFixture(
  t: ExecutionContext,
  reply: (asking: number) => boolean,
) {
  let now = 1000;
  let asksCount = 0;
  let pingsCount = 0;
  const events: string[] = [];
  const connection: FakeConnection = {
    lastReceivedMillis: 0,
    waitingSinceMillis: undefined,
    ping: () => {
      pingsCount += 1;
    },
  };
  const watch = createPeerMonitor({
    nowMillis: () => now,
    onPeerLost: (peer, hopsCount) => {
      events.push(`lost ${peer.address} ${String(hopsCount)}`);
    },
    onPeerFound: () => {
      events.push('found');
    },
  });
  t.teardown(watch.dispose);
  const signs: PeerLiveness = watch.add({
    endpoint: ENDPOINT,
    detachedHopsCount: 0,
    connections: () => [connection],
    probe: () => {
      asksCount += 1;
      return Promise.resolve(reply(asksCount));
    },
    replaceSilentConnections: sinceMillis => {
      if (connection.lastReceivedMillis >= sinceMillis) return;
      events.push('replaced');
      connection.waitingSinceMillis = undefined;
    },
    failResendableHops: () => {
      events.push('given up');
      return 1;
    },
  });
  return {
    watch,
    signs,
    connection,
    events,
    send: () => {
      connection.waitingSinceMillis = now;
    },
    hear: () => {
      connection.lastReceivedMillis = now;
      signs.recordActivity();
    },
    asksCount: () => asksCount,
    pingsCount: () => pingsCount,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

/** Adds a node that was heard and does not reply any more. */
function addWitness(watch: PeerMonitor): () => number {
  const endpoint = {address: 'q', port: 1};
  let asksCount = 0;
  const signs = watch.add({
    endpoint,
    detachedHopsCount: 0,
    connections: () => [],
    probe: () => {
      asksCount += 1;
      return Promise.resolve(false);
    },
    replaceSilentConnections: () => undefined,
    failResendableHops: () => 0,
  });
  signs.recordActivity();
  return () => asksCount;
}

test('a node that does not reply loses what may be sent elsewhere', async t => {
  // Symptom: during a partition every request to the other zone waits for its
  // deadline. Kept connections carry it, and nothing comes back. Cause: silence
  // was taken for slowness.
  const {send, events, advance} = createFixture(t, () => false);
  send();
  advance(500);
  await waitUntil('given up', () => events.length === 2);
  t.deepEqual(events, ['given up', 'lost p 1']);
});

test('a node that hears nobody blames itself first', async t => {
  // Symptom: a slow node answers its clients with failures, and sends their
  // requests twice. It took its own delay for the silence of all peers.
  const {watch, signs, send, events, advance} = createFixture(t, () => false);
  const witnessAsksCount = addWitness(watch);
  send();
  advance(500);
  await waitUntil('asked a witness', () => witnessAsksCount() === 1);
  t.deepEqual(events, []);
  t.false(signs.isLost);
  advance(1000);
  await waitUntil('lost', () => events.includes('given up'));
});

test('a lost node is asked until it replies, and avoided meanwhile', async t => {
  // Symptom: long after a partition began, every other request still waits for
  // a peer behind it. Cause: requests themselves were sent to try the peer.
  const {signs, send, events, advance} = createFixture(
    t,
    asking => asking >= 3,
  );
  send();
  advance(500);
  await waitUntil('lost', () => events.includes('given up'));
  t.true(signs.isLost);
  advance(1000);
  await waitUntil('asked again', () => {
    advance(50);
    return events.includes('found');
  });
  t.false(signs.isLost);
});

test('requests of a silent connection go on if the node replies', async t => {
  // Symptom: an order hangs on a connection that something between the nodes
  // has forgotten, while new connections work.
  const {send, events, advance} = createFixture(t, () => true);
  send();
  advance(500);
  await waitUntil('replaced', () => events.length > 0);
  t.deepEqual(events, ['replaced']);
});

test('a slow upstream is asked for a sign of life and left alone', async t => {
  const {send, hear, advance, asksCount, pingsCount} = createFixture(
    t,
    () => true,
  );
  send();
  for (let round = 1; round <= 5; round += 1) {
    advance(200);
    await waitUntil('asked for a sign', () => pingsCount() === round);
    hear();
  }
  t.is(asksCount(), 0);
});

test('a connection without requests may be silent', async t => {
  const {advance, asksCount, pingsCount, send} = createFixture(t, () => true);
  advance(10_000);
  send();
  advance(200);
  await waitUntil('asked for a sign', () => pingsCount() === 1);
  t.is(asksCount(), 0);
});
