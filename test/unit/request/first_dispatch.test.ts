import test from 'ava';
import {createFirstDispatches} from '../../../src/request/first_dispatch.js';

/** Whether a promise is resolved after one turn of the event loop. */
async function isResolved(turn: unknown): Promise<boolean> {
  const pending = Symbol('pending');
  const next = new Promise(resolve => setImmediate(resolve, pending));
  return (await Promise.race([turn, next])) !== pending;
}

test('requests after the first one wait until the upstream has responded', async t => {
  const firsts = createFirstDispatches();
  t.is(firsts.acquireTurn('u-1'), 'first');
  const behind = firsts.acquireTurn('u-1');
  t.false(await isResolved(behind));
  firsts.settle('u-1');
  t.true(await isResolved(behind));
  t.is(firsts.acquireTurn('u-1'), 'settled');
});

test('no request waits longer than a rejection takes', async t => {
  // An upstream that accepts the id responds only after it has executed the request.
  const firsts = createFirstDispatches();
  void firsts.acquireTurn('u-1');
  await firsts.acquireTurn('u-1');
  t.is(firsts.acquireTurn('u-1'), 'settled');
});

test('a reset discards the state of an upstream that may have restarted', async t => {
  const firsts = createFirstDispatches();
  void firsts.acquireTurn('u-1');
  const behind = firsts.acquireTurn('u-1');
  firsts.reset();
  t.true(await isResolved(behind));
  t.is(firsts.acquireTurn('u-1'), 'first');
});

test('a process that was short of CPU time reads pending responses before it dispatches', async t => {
  // Guards against refused reads after a power loss. At a load of twice the number of
  // processors, the delay can expire before the node has read the rejection: all of 60
  // simultaneous reads are then dispatched with the old id, some of the retries exceed the
  // budget, and only 55 to 59 reads are served.
  const firsts = createFirstDispatches();
  t.is(firsts.acquireTurn('u-1'), 'first');
  const behind = firsts.acquireTurn('u-1');
  const untilMillis = performance.now() + 60;
  while (performance.now() < untilMillis) continue;
  // Expired timers run first, in the order of their due times.
  await new Promise(resolve => setTimeout(resolve, 1));
  t.false(await isResolved(behind));
  firsts.settle('u-1');
  t.true(await isResolved(behind));
});
