import test from 'ava';
import type {CompletionThrottle} from '../../../../src/process/admission/completion_throttle.js';
import {createCompletionThrottle} from '../../../../src/process/admission/completion_throttle.js';
import {BUCKETS_COUNT} from '../../../../src/process/admission/importance.js';

const ROUTE = 'orders';

function createFixture() {
  let now = 0;
  const throttle = createCompletionThrottle(() => now);
  return {
    throttle,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

/** Ends requests of which every `completedEvery`-th completes. */
function endRequests(
  throttle: CompletionThrottle,
  count: number,
  completedEvery: number,
): void {
  for (let index = 1; index <= count; index += 1) {
    throttle.recordEnd(ROUTE, index % completedEvery === 0);
  }
}

function admittedCount(throttle: CompletionThrottle): number {
  const buckets = Array.from({length: BUCKETS_COUNT}, (_, bucket) => bucket);
  return buckets.filter(bucket => throttle.admits(ROUTE, bucket)).length;
}

test('a route without finished requests is admitted', t => {
  t.is(admittedCount(createFixture().throttle), BUCKETS_COUNT);
});

test('a route of which a third of the requests complete is admitted', t => {
  const {throttle} = createFixture();
  endRequests(throttle, 60, 3);
  t.is(admittedCount(throttle), BUCKETS_COUNT);
});

test('a route whose requests fail is throttled to its most important buckets', t => {
  const {throttle} = createFixture();
  endRequests(throttle, 64, 100);
  t.true(throttle.admits(ROUTE, 0));
  t.false(throttle.admits(ROUTE, BUCKETS_COUNT - 1));
  t.false(throttle.admits(ROUTE, 3 * BUCKETS_COUNT - 1));
});

test('other routes are not throttled', t => {
  const {throttle} = createFixture();
  endRequests(throttle, 64, 100);
  t.true(throttle.admits('reads', BUCKETS_COUNT - 1));
});

test('a throttled route is admitted again once its requests complete', t => {
  const {throttle, advance} = createFixture();
  endRequests(throttle, 64, 100);
  for (let millis = 0; millis < 5000; millis += 100) {
    advance(100);
    for (const bucket of [0, 8, 16, 32, 63]) {
      if (throttle.admits(ROUTE, bucket)) throttle.recordEnd(ROUTE, true);
    }
  }
  t.is(admittedCount(throttle), BUCKETS_COUNT);
});
