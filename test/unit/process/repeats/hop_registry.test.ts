import test from 'ava';
import {createHopRegistry} from '../../../../src/process/repeats/hop_registry.js';

const ANSWER_BYTES = 100;

test('a hop that was claimed in vain is refused when it arrives', t => {
  const registry = createHopRegistry<string>(() => 0);
  t.deepEqual(registry.claim('late'), {state: 'unknown'});
  t.false(registry.begin('late', 'a'));
  t.true(registry.begin('other', 'b'));
  t.deepEqual(registry.claim('other'), {state: 'working', hop: 'b'});
  registry.end('other', ANSWER_BYTES);
  t.deepEqual(registry.claim('other'), {state: 'finished', hop: 'b'});
});

test('an answer that is not kept is never taken for a hop that did not arrive', t => {
  // Symptom: an order runs twice. Sequence: its answer is lost with its
  // connection, the sender asks later than answers are kept. Cause: what is no
  // longer kept must not be told as never received.
  let now = 0;
  const registry = createHopRegistry<string>(() => now);
  registry.begin('old', 'a');
  registry.end('old', ANSWER_BYTES);
  registry.begin('long', 'b');
  registry.end('long', 0);
  t.deepEqual(registry.claim('long'), {state: 'gone'});
  now = 5000;
  t.deepEqual(registry.claim('old'), {state: 'gone'});
});

test('kept answers are bounded by their bytes', t => {
  const registry = createHopRegistry<string>(() => 0);
  for (let index = 0; index < 100; index += 1) {
    registry.begin(`h${String(index)}`, 'x');
    registry.end(`h${String(index)}`, 60_000);
  }
  t.deepEqual(registry.claim('h0'), {state: 'gone'});
  t.is(registry.claim('h99').state, 'finished');
});
