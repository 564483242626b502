import {setImmediate as nextTurn} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {createHopRegistry} from '../../../../src/process/retries/hop_registry.js';

const RESPONSE = Buffer.alloc(100);

const LARGE_RESPONSE = Buffer.alloc(60_000);

/** Time until which the sender of a hop may claim it. */
const CLAIMABLE_UNTIL_MILLIS = 10_000;

test('a hop that was claimed before its arrival is refused when it arrives', t => {
  const registry = createHopRegistry<string>(() => 0);
  t.deepEqual(registry.claim('late'), {state: 'unknown'});
  t.false(registry.begin('late', 'a', CLAIMABLE_UNTIL_MILLIS));
  t.true(registry.begin('other', 'b', CLAIMABLE_UNTIL_MILLIS));
  t.deepEqual(registry.claim('other'), {state: 'working', hop: 'b'});
  registry.end('other', RESPONSE);
  t.deepEqual(registry.claim('other'), {state: 'finished', response: RESPONSE});
});

test('a response that is no longer kept is never reported as an unknown hop', t => {
  // Guards against an order that runs twice: its response is lost with the
  // connection, and the sender claims the hop after the retention time. A hop
  // whose response is no longer kept must not be reported as never received.
  let now = 0;
  const registry = createHopRegistry<string>(() => now);
  registry.begin('old', 'a', CLAIMABLE_UNTIL_MILLIS);
  registry.end('old', RESPONSE);
  registry.begin('long', 'b', CLAIMABLE_UNTIL_MILLIS);
  registry.end('long');
  t.deepEqual(registry.claim('long'), {state: 'gone'});
  now = 5000;
  t.deepEqual(registry.claim('old'), {state: 'gone'});
});

test('kept responses are bounded by their bytes', t => {
  const registry = createHopRegistry<string>(() => 0);
  for (let index = 0; index < 100; index += 1) {
    registry.begin(`h${String(index)}`, 'x', CLAIMABLE_UNTIL_MILLIS);
    registry.end(`h${String(index)}`, LARGE_RESPONSE);
  }
  t.deepEqual(registry.claim('h0'), {state: 'gone'});
  t.is(registry.claim('h99').state, 'finished');
});

test('a hop is remembered until its sender no longer claims it, however many follow', t => {
  // Guards against an order that runs twice: a hop that has run and was forgotten is
  // reported as never received, and its sender offers it again.
  let now = 0;
  const registry = createHopRegistry<string>(() => now);
  registry.begin('order', 'a', CLAIMABLE_UNTIL_MILLIS);
  registry.end('order');
  for (let index = 0; index < 20_000; index += 1) {
    const hopId = `h${String(index)}`;
    registry.begin(hopId, 'x', CLAIMABLE_UNTIL_MILLIS);
    registry.end(hopId);
  }
  now = CLAIMABLE_UNTIL_MILLIS - 1;
  t.deepEqual(registry.claim('order'), {state: 'gone'});
});

test('a response that is kept for longer outlasts others', t => {
  // Guards against orders whose response expires before their sender can reconnect.
  let now = 0;
  const registry = createHopRegistry<string>(() => now);
  for (const hopId of ['usual', 'longer']) {
    registry.begin(hopId, hopId, CLAIMABLE_UNTIL_MILLIS);
  }
  const longer = Buffer.from('longer');
  registry.end('longer', longer, 4000);
  registry.end('usual', RESPONSE);
  now = 3999;
  t.deepEqual(registry.claim('usual'), {state: 'gone'});
  t.deepEqual(registry.claim('longer'), {state: 'finished', response: longer});
  now = 4000;
  t.deepEqual(registry.claim('longer'), {state: 'gone'});
});

test('responses that are kept for longer are bounded by their bytes', t => {
  const registry = createHopRegistry<string>(() => 0);
  for (let index = 0; index < 100; index += 1) {
    registry.begin(`h${String(index)}`, 'x', CLAIMABLE_UNTIL_MILLIS);
    registry.end(`h${String(index)}`, LARGE_RESPONSE, 4000);
  }
  t.deepEqual(registry.claim('h0'), {state: 'gone'});
  t.deepEqual(registry.claim('h99'), {
    state: 'finished',
    response: LARGE_RESPONSE,
  });
});

test('an answered hop is released while its response is kept', async t => {
  // Guards against requests that stay in memory for as long as their responses are kept:
  // the garbage collector copies and promotes all of them.
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const registry = createHopRegistry<object>(() => 0);
  const begin = (hopId: string): WeakRef<object> => {
    const hop = {hopId};
    registry.begin(hopId, hop, CLAIMABLE_UNTIL_MILLIS);
    return new WeakRef(hop);
  };
  const answered = begin('answered');
  const working = begin('working');
  registry.end('answered', RESPONSE);
  await nextTurn();
  collectGarbage();
  t.is(answered.deref(), undefined);
  t.not(working.deref(), undefined);
  t.is(registry.claim('answered').state, 'finished');
});
