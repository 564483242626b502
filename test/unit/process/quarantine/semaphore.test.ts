import test from 'ava';
import {createCancelSource} from '../../../../src/base/cancel_signal.js';
import {createSemaphore} from '../../../../src/process/quarantine/semaphore.js';

const LONG_MILLIS = 60_000;

function waitOf(waitMillis: number) {
  const source = createCancelSource();
  return {wait: {waitMillis, cancel: source.signal}, cancel: source.cancel};
}

test('permits are granted in order, and passed on when released', async t => {
  const semaphore = createSemaphore(1);
  const {wait} = waitOf(LONG_MILLIS);
  t.true(semaphore.acquire(wait) === true);
  const order: string[] = [];
  const second = Promise.resolve(semaphore.acquire(wait)).then(() => {
    order.push('second');
  });
  const third = Promise.resolve(semaphore.acquire(wait)).then(() => {
    order.push('third');
  });
  semaphore.release();
  await second;
  t.deepEqual(order, ['second']);
  semaphore.release();
  await third;
  semaphore.release();
  t.true(semaphore.acquire(wait) === true);
});

test('a wait that is cancelled or times out acquires no permit', async t => {
  const semaphore = createSemaphore(1);
  const {wait} = waitOf(LONG_MILLIS);
  void semaphore.acquire(wait);
  const cancelled = waitOf(LONG_MILLIS);
  const cancelledWait = semaphore.acquire(cancelled.wait);
  cancelled.cancel('client-left');
  t.false(await cancelledWait);
  t.false(await semaphore.acquire(waitOf(0).wait));
  semaphore.release();
  t.true(semaphore.acquire(wait) === true);
});
