import test from 'ava';
import {createDispatchPacer} from '../../../../src/process/admission/dispatch_pacer.js';
import {createSeededRandom} from '../../../../src/emulator/seeded_random.js';

/** A pacer on a manual clock with a limit that tests set. */
function createFixture() {
  let now = 0;
  let limitPerSecond: number | undefined;
  const pacer = createDispatchPacer({
    limitPerSecond: () => limitPerSecond,
    nowMillis: () => now,
  });
  return {
    pacer,
    setNow: (millis: number) => {
      now = millis;
    },
    setLimit: (perSecond: number | undefined) => {
      limitPerSecond = perSecond;
    },
  };
}

/** Dispatches as often as allowed; returns the times of the dispatches. */
function dispatchAll(
  {pacer, setNow}: ReturnType<typeof createFixture>,
  fromMillis: number,
  toMillis: number,
): readonly number[] {
  const times: number[] = [];
  for (let now = fromMillis; now < toMillis; now += 5) {
    setNow(now);
    while (times.length < 100_000 && pacer.tryTake()) times.push(now);
  }
  return times;
}

function peakInWindow(times: readonly number[], windowMillis: number): number {
  let first = 0;
  let peak = 0;
  for (const [last, millis] of times.entries()) {
    while (times[first]! <= millis - windowMillis) first += 1;
    peak = Math.max(peak, last - first + 1);
  }
  return peak;
}

/** Steps of the clock, and those in a window of four seconds. */
const STEP_MILLIS = 20;
const STEPS_COUNT = 1000;
const WINDOW_STEPS_COUNT = 200;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test('without a limit every dispatch is allowed', t => {
  const {pacer} = createFixture();
  t.is(pacer.perSecond, undefined);
  t.is(pacer.waitMillis(50), 0);
  for (let index = 0; index < 50; index += 1) t.true(pacer.tryTake());
});

test('no window of four seconds exceeds the limit by more than its tolerance', t => {
  // Guards against a burst that is allowed again and again, or at the change of a limit.
  for (const limit of [0, 0.1, 0.5, 1, 5.1, 11, 60, 400]) {
    const fixture = createFixture();
    fixture.setLimit(limit);
    const times = dispatchAll(fixture, 0, 20_000);
    const toleratedCount = 1.5 * limit * 4 + 5;
    t.true(peakInWindow(times, 4000) <= toleratedCount, String(limit));
    t.true(times.length >= 0.95 * limit * 20 - 1, String(limit));
    t.true(times.length > 0, String(limit));
  }
});

test('idle times do not accumulate permits beyond a quarter of a second', t => {
  const fixture = createFixture();
  fixture.setLimit(40);
  dispatchAll(fixture, 0, 1000);
  fixture.setNow(60_000);
  t.is(fixture.pacer.waitMillis(10), 0);
  t.is(fixture.pacer.waitMillis(11), 25);
});

test('the wait for a number of permits is the time until they are available', t => {
  const random = createSeededRandom(7);
  for (let round = 0; round < 200; round += 1) {
    const fixture = createFixture();
    fixture.setLimit(1 + 50 * random.next());
    dispatchAll(fixture, 0, 200);
    const count = 1 + Math.floor(3 * random.next());
    const waitMillis = fixture.pacer.waitMillis(count);
    fixture.setNow(195 + waitMillis + 0.01);
    const isAvailable = fixture.pacer.waitMillis(count) === 0;
    const isWithinBurst = count <= fixture.pacer.perSecond! / 4 || count === 1;
    t.is(isAvailable, isWithinBurst, `${String(count)} ${String(round)}`);
  }
});

test('a permit is returned if its request was not dispatched', t => {
  const {pacer, setLimit, setNow} = createFixture();
  setLimit(1);
  pacer.tryTake();
  setNow(1000);
  t.true(pacer.tryTake());
  pacer.refund();
  t.true(pacer.tryTake());
  t.false(pacer.tryTake());
});

test('a dispatch that cannot wait delays the next ones', t => {
  const {pacer, setLimit, setNow} = createFixture();
  setLimit(10);
  pacer.tryTake();
  pacer.takeUnchecked();
  pacer.takeUnchecked();
  t.is(pacer.waitMillis(1), 300);
  setNow(301);
  t.true(pacer.tryTake());
});

test('until the first response the requests in flight grow with time', t => {
  // Guards against an upstream that stays idle because its first requests take long.
  const {pacer, setNow} = createFixture();
  setNow(60_000);
  t.is(pacer.maxInFlightCount(), 3);
  pacer.tryTake();
  setNow(60_500);
  t.is(pacer.maxInFlightCount(), 4);
  setNow(65_000);
  t.is(pacer.maxInFlightCount(), 96);
  pacer.recordResponse();
  t.is(pacer.maxInFlightCount(), Infinity);
});

test('no window exceeds a limit that changes, ends and returns', t => {
  // Guards against permits of a higher limit, or of the time without one, that are spent
  // under a lower limit.
  for (let seed = 1; seed <= 100; seed += 1) {
    const random = createSeededRandom(seed);
    const fixture = createFixture();
    const dispatched: number[] = [];
    /** Dispatches tolerated in each step of the clock; unlimited is infinite. */
    const tolerated: number[] = [];
    let limit: number | undefined;
    for (let step = 0; step < STEPS_COUNT; step += 1) {
      if (random.next() < 0.01) {
        limit = random.next() < 0.2 ? undefined : 80 * random.next() ** 4;
        fixture.setLimit(limit);
      }
      fixture.setNow(step * STEP_MILLIS);
      let count = 0;
      while (count < 5 && fixture.pacer.tryTake()) count += 1;
      if (count > 0 && random.next() < 0.1) {
        fixture.pacer.refund();
        count -= 1;
      }
      dispatched.push(count);
      tolerated.push(1.5 * (limit ?? Infinity) * (STEP_MILLIS / 1000));
    }
    for (let end = WINDOW_STEPS_COUNT; end <= STEPS_COUNT; end += 1) {
      const range = [end - WINDOW_STEPS_COUNT, end] as const;
      const count = sum(dispatched.slice(...range));
      const toleratedCount = sum(tolerated.slice(...range)) + 5;
      if (count > toleratedCount) t.fail(`seed ${String(seed)}, step ${end}`);
    }
  }
  t.pass();
});
