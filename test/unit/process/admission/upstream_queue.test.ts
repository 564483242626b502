import test from 'ava';
import {createDispatchPacer} from '../../../../src/process/admission/dispatch_pacer.js';
import type {SlotRequest} from '../../../../src/process/admission/upstream_queue.js';
import {createUpstreamQueue} from '../../../../src/process/admission/upstream_queue.js';
import {BUCKETS_COUNT} from '../../../../src/process/admission/importance.js';
import {createEventClock} from '../../../fakes/event_clock.js';

/**
 * A queue on a manual clock, with the names of started and expired requests.
 */
function createFixture(slotsCount: number) {
  let now = 0;
  const started: string[] = [];
  const expired: string[] = [];
  const queue = createUpstreamQueue(() => now);
  queue.setSlots(slotsCount);
  const request = (
    name: string,
    fields: Partial<SlotRequest> = {},
  ): SlotRequest => ({
    importance: 0,
    beganAtMillis: 0,
    startByMillis: 1000,
    start: () => started.push(name),
    expire: () => expired.push(name),
    ...fields,
  });
  return {
    queue,
    request,
    started,
    expired,
    setNow: (millis: number) => {
      now = millis;
    },
  };
}

test('the number of requests in flight never exceeds the limit', t => {
  // Guards against an upstream that stops responding permanently because its
  // node sent more requests than it has slots and places in its queue.
  const {queue, request, started} = createFixture(4);
  for (let index = 0; index < 12; index += 1) {
    queue.offer(request(String(index)));
  }
  t.is(queue.load().inFlightCount, 4);
  queue.release(10);
  t.is(queue.load().inFlightCount, 4);
  t.deepEqual(started, ['4']);
});

test('a twentieth of the slots stays free, unless there are only a few', t => {
  const many = createFixture(100);
  t.is(many.queue.load().limitCount, 95);
  const few = createFixture(8);
  t.is(few.queue.load().limitCount, 8);
  const none = createFixture(0);
  t.is(none.queue.load().limitCount, 1);
});

test('the more important rank goes first, then the oldest attempt', t => {
  const {queue, request, started} = createFixture(1);
  queue.offer(request('running'));
  queue.offer(request('late', {importance: 2 * BUCKETS_COUNT}));
  queue.offer(request('new', {importance: 3, beganAtMillis: 20}));
  queue.offer(request('old', {importance: 3, beganAtMillis: 10}));
  for (let index = 0; index < 3; index += 1) queue.release(10);
  t.deepEqual(started, ['old', 'new', 'late']);
});

test('within a rank the same requests go first at every call', t => {
  // Guards against a service that could serve a fifth of requests with four
  // calls but serves almost none: ordered by age alone, each request gets its
  // calls up to the one that comes too late, and none gets all.
  const {queue, request, started} = createFixture(1);
  queue.offer(request('running'));
  queue.offer(request('shed last', {importance: 3, beganAtMillis: 400}));
  queue.offer(request('shed first', {importance: 60, beganAtMillis: 10}));
  queue.offer(request('near', {importance: 5, beganAtMillis: 200}));
  for (let index = 0; index < 3; index += 1) queue.release(10);
  t.deepEqual(started, ['near', 'shed last', 'shed first']);
});

test('a request that cannot start in time is refused on arrival', t => {
  const {queue, request} = createFixture(1);
  queue.offer(request('running'));
  t.is(queue.offer(request('hopeless', {startByMillis: 5})), 'refused');
  t.is(queue.offer(request('possible', {startByMillis: 500})), 'queued');
});

test('an expired request is not started when a slot becomes free', t => {
  const {queue, request, started, expired, setNow} = createFixture(1);
  queue.offer(request('running'));
  queue.offer(request('over', {startByMillis: 100}));
  queue.offer(request('next', {startByMillis: 1000, beganAtMillis: 1}));
  setNow(200);
  queue.release(10);
  t.deepEqual(expired, ['over']);
  t.deepEqual(started, ['next']);
});

test('a full queue evicts its least important request', t => {
  const {queue, request, expired} = createFixture(1);
  const patient = {startByMillis: 100_000};
  queue.offer(request('running', patient));
  for (let index = 0; index < 4; index += 1) {
    queue.offer(request(`w${String(index)}`, {...patient, importance: 100}));
  }
  t.is(queue.offer(request('low', {...patient, importance: 200})), 'refused');
  t.is(queue.offer(request('high', {...patient, importance: 1})), 'queued');
  t.deepEqual(expired, ['w3']);
});

test('a withdrawn request is not started', t => {
  const {queue, request, started} = createFixture(1);
  queue.offer(request('running'));
  const waiting = request('gone');
  queue.offer(waiting);
  t.true(queue.withdraw(waiting));
  t.false(queue.withdraw(waiting));
  queue.release(10);
  t.deepEqual(started, []);
});

test('the minimum share of a lower rank goes before the first rank once it has waited', t => {
  // Guards against a kind whose admitted requests expire behind those of the
  // first rank for as long as it takes all slots.
  const {queue, request, started, setNow} = createFixture(1);
  const share = {importance: 2 * BUCKETS_COUNT, startByMillis: 1000};
  queue.offer(request('running'));
  queue.offer(request('share', share));
  queue.offer(request('first', {importance: 40, beganAtMillis: 0}));
  queue.release(10);
  t.deepEqual(started, ['first']);
  queue.offer(request('next', {importance: 40, beganAtMillis: 20}));
  setNow(200);
  queue.release(10);
  t.deepEqual(started, ['first', 'share']);
});

test('the rest of a lower rank waits behind the first rank', t => {
  const {queue, request, started, setNow} = createFixture(1);
  const rest = {importance: 3 * BUCKETS_COUNT - 1, startByMillis: 1000};
  queue.offer(request('running'));
  queue.offer(request('rest', rest));
  setNow(500);
  queue.offer(request('first', {importance: 40, beganAtMillis: 400}));
  queue.release(10);
  t.deepEqual(started, ['first']);
});

test('a promoted request that is withdrawn is not started', t => {
  const {queue, request, started, setNow} = createFixture(1);
  queue.offer(request('running'));
  const share = request('share', {importance: 2 * BUCKETS_COUNT});
  queue.offer(share);
  queue.offer(request('first', {importance: 1}));
  setNow(500);
  queue.release(10);
  t.deepEqual(started, ['share']);
  t.false(queue.withdraw(share));
});

/** A paced queue on a simulated clock, with the names of started requests. */
function createPacedFixture(limitPerSecond: number) {
  const clock = createEventClock();
  const started: string[] = [];
  const expired: string[] = [];
  let limit: number | undefined = limitPerSecond;
  const pacer = createDispatchPacer({
    limitPerSecond: () => limit,
    nowMillis: clock.nowMillis,
  });
  const queue = createUpstreamQueue(clock.nowMillis, {
    pacer,
    schedule: clock.schedule,
  });
  queue.setSlots(100);
  return {
    clock,
    pacer,
    queue,
    started,
    expired,
    endLimit: () => {
      limit = undefined;
    },
    setLimit: (perSecond: number) => {
      limit = perSecond;
    },
    offer: (name: string, importance: number, startByMillis: number) =>
      queue.offer({
        importance,
        beganAtMillis: clock.nowMillis(),
        startByMillis,
        start: () => started.push(name),
        expire: () => expired.push(name),
      }),
  };
}

test('a limited queue starts the most important requests at the rate of the limit', t => {
  // Guards against a limit that is spent on the requests that arrive first.
  const {clock, pacer, queue, started, offer} = createPacedFixture(2);
  pacer.recordResponse();
  for (let index = 0; index < 4; index += 1) {
    offer(`read${String(index)}`, 3 * BUCKETS_COUNT, 4000);
  }
  offer('order', 0, 4000);
  clock.runUntil(400);
  t.deepEqual(started, []);
  clock.runUntil(600);
  t.deepEqual(started, ['order']);
  clock.runUntil(1600);
  t.deepEqual(started, ['order', 'read0', 'read1']);
  t.is(queue.load().inFlightCount, 3);
});

test('a limited queue refuses at once what it cannot start in time', t => {
  const {pacer, queue, offer} = createPacedFixture(2);
  pacer.recordResponse();
  t.is(offer('soon', 0, 600), 'queued');
  t.is(offer('late', 0, 900), 'rate-limited');
  t.is(queue.load().queuedCount, 1);
});

test('a limited queue reports the slots that its limit can use', t => {
  const {queue} = createPacedFixture(5);
  t.is(queue.load().limitCount, 0.25);
});

test('a limited queue of short requests reports its capacity within a hundredth', t => {
  // Guards against clients of a limited service that are told to retry too early, because
  // a small number of slots was rounded to a multiple of it.
  const {queue, offer, pacer, endLimit, setLimit} = createPacedFixture(0.5);
  pacer.recordResponse();
  endLimit();
  for (let index = 0; index < 200; index += 1) {
    offer(String(index), 0, 1000);
    queue.release(7);
  }
  setLimit(0.5);
  const {limitCount, averageMillis} = queue.load();
  const perSecond = (limitCount * 1000) / averageMillis;
  t.true(Math.abs(perSecond - 0.5) < 0.005, String(perSecond));
});

test('a permit of a request that was not dispatched goes to the next one', t => {
  const {clock, pacer, queue, started, offer} = createPacedFixture(1);
  pacer.recordResponse();
  offer('cancelled', 0, 5000);
  offer('next', 0, 5000);
  clock.runUntil(1100);
  t.deepEqual(started, ['cancelled']);
  queue.releaseUnused();
  t.deepEqual(started, ['cancelled', 'next']);
});

test('requests that wait for a limit start when it ends', t => {
  const {pacer, queue, started, offer, clock, endLimit} = createPacedFixture(1);
  pacer.recordResponse();
  for (let index = 0; index < 5; index += 1) {
    offer(String(index), 0, 9000);
  }
  clock.runUntil(1100);
  t.is(started.length, 1);
  endLimit();
  queue.release(10);
  t.is(started.length, 5);
});

test('waiting requests start although an upstream does not respond to its first ones', t => {
  // Guards against an upstream that stays idle because its first requests take long.
  const {queue, offer, clock, endLimit} = createPacedFixture(1);
  endLimit();
  for (let index = 0; index < 20; index += 1) {
    offer(String(index), 0, 9000);
  }
  t.is(queue.load().inFlightCount, 3);
  clock.runUntil(1100);
  t.is(queue.load().inFlightCount, 6);
  clock.runUntil(3100);
  t.is(queue.load().inFlightCount, 20);
});
