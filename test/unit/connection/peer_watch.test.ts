import type {ExecutionContext} from 'ava';
import test from 'ava';
import {createPeerWatch} from '../../../src/connection/peer_watch.js';
import type {HopState} from '../../../src/process/hop_registry.js';
import {createHopRegistry} from '../../../src/process/hop_registry.js';
import {waitUntil} from '../../fakes/wait_until.js';

type Reply = readonly HopState[] | undefined;

/** A watch over one peer whose replies a test chooses. */
function createFixture(t: ExecutionContext, reply: (asking: number) => Reply) {
  let now = 1000;
  let asksCount = 0;
  const events: string[] = [];
  const watch = createPeerWatch({
    ask: () => {
      asksCount += 1;
      return Promise.resolve(reply(asksCount));
    },
    nowMillis: () => now,
    onPeerLost: (peer, hopsCount) => {
      events.push(`peer ${peer.address} ${String(hopsCount)}`);
    },
    onPeerFound: () => {
      events.push('found');
    },
    onHopLost: (_peer, state) => {
      events.push(`hop ${state}`);
    },
  });
  t.teardown(watch.dispose);
  const send = (hopId: string, isExpendable: boolean): void => {
    const watched = watch.watch({
      hopId,
      peer: {address: 'p', port: 1},
      startedMillis: now,
      isExpendable: () => isExpendable,
      giveUp: () => {
        events.push(`${hopId} given up`);
        watched.dispose();
      },
      giveUpNotRun: () => {
        events.push(`${hopId} not run`);
        watched.dispose();
      },
    });
  };
  return {
    watch,
    send,
    events,
    asksCount: () => asksCount,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('a peer that does not reply loses what may be sent elsewhere', async t => {
  // Symptom: during a partition every request to the other zone waits for its
  // deadline. Kept connections carry it, and nothing comes back. Cause: silence
  // was taken for slowness.
  const {send, events, advance} = createFixture(t, () => undefined);
  send('lookup', true);
  send('order', false);
  advance(300);
  await waitUntil('given up', () => events.length === 2);
  t.deepEqual(events, ['peer p 1', 'lookup given up']);
});

test('a node that hears nobody blames itself first', async t => {
  // Symptom: a slow node answers its clients with failures, and sends their
  // requests twice. It took its own delay for the silence of all peers.
  const {watch, send, events, advance, asksCount} = createFixture(
    t,
    () => undefined,
  );
  watch.noteHeard({address: 'q', port: 1});
  send('lookup', true);
  advance(300);
  await waitUntil('asked with a witness', () => asksCount() === 2);
  t.deepEqual(events, []);
  t.false(watch.isLost({address: 'p', port: 1}));
  advance(1000);
  await waitUntil('lost', () => events.includes('lookup given up'));
});

test('a lost peer is asked until it replies, and avoided meanwhile', async t => {
  // Symptom: long after a partition began, every other request still waits for
  // a peer behind it. Cause: requests themselves were sent to try the peer.
  const {watch, send, events, advance} = createFixture(t, asking =>
    asking < 3 ? undefined : [],
  );
  send('lookup', true);
  advance(300);
  await waitUntil('lost', () => events.includes('lookup given up'));
  t.true(watch.isLost({address: 'p', port: 1}));
  advance(1000);
  await waitUntil('asked again', () => {
    advance(50);
    return events.includes('found');
  });
  t.false(watch.isLost({address: 'p', port: 1}));
});

test('what the peer does not have is given up as not run', async t => {
  // Symptom: an order hangs on a connection that something between the nodes
  // has forgotten, while new connections work.
  const {send, events, advance} = createFixture(t, () => ['unknown']);
  send('order', false);
  advance(300);
  await waitUntil('given up', () => events.includes('order not run'));
  t.deepEqual(events, ['hop unknown', 'order not run']);
});

test('an answer that was written is waited for until the next question', async t => {
  const {send, events, advance, asksCount} = createFixture(t, () => [
    'finished',
  ]);
  send('order', false);
  advance(300);
  await waitUntil('asked', () => asksCount() === 1);
  t.deepEqual(events, []);
  advance(1000);
  await waitUntil('given up', () => events.includes('order given up'));
  t.is(asksCount(), 2);
});

test('work in progress is left alone', async t => {
  const {send, events, advance, asksCount} = createFixture(t, () => [
    'working',
  ]);
  send('lookup', true);
  for (let round = 1; round <= 3; round += 1) {
    advance(1000);
    await waitUntil('asked', () => asksCount() === round);
  }
  t.deepEqual(events, []);
});

test('a hop that was given up as unknown is refused when it arrives', t => {
  const registry = createHopRegistry();
  t.is(registry.ask('late'), 'unknown');
  t.false(registry.begin('late'));
  t.true(registry.begin('other'));
  t.is(registry.ask('other'), 'working');
  registry.end('other');
  t.is(registry.ask('other'), 'finished');
});
