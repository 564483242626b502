import test from 'ava';
import {createHopRegistry} from '../../../../src/process/retries/hop_registry.js';

const RESPONSE_BYTES = 100;

test('a hop that was claimed before its arrival is refused when it arrives', t => {
  const registry = createHopRegistry<string>(() => 0);
  t.deepEqual(registry.claim('late'), {state: 'unknown'});
  t.false(registry.begin('late', 'a'));
  t.true(registry.begin('other', 'b'));
  t.deepEqual(registry.claim('other'), {state: 'working', hop: 'b'});
  registry.end('other', RESPONSE_BYTES);
  t.deepEqual(registry.claim('other'), {state: 'finished', hop: 'b'});
});

test('a response that is no longer kept is never reported as an unknown hop', t => {
  // Guards against an order that runs twice: its response is lost with the
  // connection, and the sender claims the hop after the retention time. A hop
  // whose response is no longer kept must not be reported as never received.
  let now = 0;
  const registry = createHopRegistry<string>(() => now);
  registry.begin('old', 'a');
  registry.end('old', RESPONSE_BYTES);
  registry.begin('long', 'b');
  registry.end('long', 0);
  t.deepEqual(registry.claim('long'), {state: 'gone'});
  now = 5000;
  t.deepEqual(registry.claim('old'), {state: 'gone'});
});

test('kept responses are bounded by their bytes', t => {
  const registry = createHopRegistry<string>(() => 0);
  for (let index = 0; index < 100; index += 1) {
    registry.begin(`h${String(index)}`, 'x');
    registry.end(`h${String(index)}`, 60_000);
  }
  t.deepEqual(registry.claim('h0'), {state: 'gone'});
  t.is(registry.claim('h99').state, 'finished');
});
