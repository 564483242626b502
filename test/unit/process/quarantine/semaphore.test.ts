import test from 'ava';
import {createCancelSource} from '../../../../src/base/cancel_signal.js';
import {createSemaphore} from '../../../../src/process/quarantine/semaphore.js';

const LONG_MILLIS = 60_000;

function waitOf(waitMillis: number) {
  const source = createCancelSource();
  return {wait: {waitMillis, cancel: source.signal}, cancel: source.cancel};
}

test('turns are given in order, and released to the next', async t => {
  const turns = createSemaphore(1);
  const {wait} = waitOf(LONG_MILLIS);
  t.true(turns.acquire(wait) === true);
  const order: string[] = [];
  const second = Promise.resolve(turns.acquire(wait)).then(() => {
    order.push('second');
  });
  const third = Promise.resolve(turns.acquire(wait)).then(() => {
    order.push('third');
  });
  turns.release();
  await second;
  t.deepEqual(order, ['second']);
  turns.release();
  await third;
  turns.release();
  t.true(turns.acquire(wait) === true);
});

test('a wait that is cancelled or too long takes no turn', async t => {
  const turns = createSemaphore(1);
  const {wait} = waitOf(LONG_MILLIS);
  void turns.acquire(wait);
  const left = waitOf(LONG_MILLIS);
  const leaving = turns.acquire(left.wait);
  left.cancel();
  t.false(await leaving);
  t.false(await turns.acquire(waitOf(0).wait));
  turns.release();
  t.true(turns.acquire(wait) === true);
});
