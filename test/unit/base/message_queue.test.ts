/**
 * Order, bound and end of a message queue.
 */
import test from 'ava';
import {createMessageQueue} from '../../../src/base/message_queue.js';

test('messages come in order, whether the consumer waits or not', async t => {
  const queue = createMessageQueue<number>(4);
  const taken: number[] = [];
  const reading = (async () => {
    for await (const message of queue) taken.push(message);
  })();
  t.true(queue.push(1));
  t.true(queue.push(2));
  await queue.whenDrained();
  t.deepEqual(taken, [1, 2]);
  t.true(queue.push(3));
  queue.close();
  await reading;
  t.deepEqual(taken, [1, 2, 3]);
});

test('a full or closed queue takes nothing', t => {
  const queue = createMessageQueue<number>(2);
  t.deepEqual(
    [1, 2, 3].map(message => queue.push(message)),
    [true, true, false],
  );
  t.is(queue.length, 2);
  queue.close();
  t.false(queue.push(4));
});

test('an error ends the iteration after what was queued before', async t => {
  const queue = createMessageQueue<number>(2);
  queue.push(1);
  queue.close(new Error('broken'));
  const iterator = queue[Symbol.asyncIterator]();
  t.deepEqual(await iterator.next(), {done: false, value: 1});
  await t.throwsAsync(() => iterator.next(), {message: 'broken'});
});

test('waiting for an empty queue ends when it is closed', async t => {
  const queue = createMessageQueue<number>(2);
  queue.push(1);
  const drained = queue.whenDrained();
  queue.close();
  await drained;
  t.pass();
});
