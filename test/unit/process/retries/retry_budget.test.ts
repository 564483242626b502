import test from 'ava';
import type {RetryBudget} from '../../../../src/process/retries/retry_budget.js';
import {createRetryBudget} from '../../../../src/process/retries/retry_budget.js';

const BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 40};

function createFixture(nodesCount: number) {
  let now = 0;
  const budget = createRetryBudget({
    bound: () => BOUND,
    nowMillis: () => now,
    nodesCount: () => nodesCount,
  });
  const takeAll = (counts: ReadonlyMap<string, number>): number => {
    let takenCount = 0;
    while (takenCount < 10_000 && budget.tryTake(counts)) takenCount += 1;
    return takenCount;
  };
  return {
    budget,
    takeAll,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

const ONE = new Map([['orders', 1]]);

test('nodes together stay within the limit without coordination', t => {
  // Guards against a failing service that gets more retries than the fleet may
  // send: ten nodes each see a tenth of the requests and spend independently.
  const nodesCount = 10;
  const requestsCount = 1000;
  let spentCount = 0;
  for (let node = 0; node < nodesCount; node += 1) {
    const {budget, takeAll} = createFixture(nodesCount);
    for (let sent = 0; sent < requestsCount / nodesCount; sent += 1) {
      budget.recordRequest(ONE);
    }
    spentCount += takeAll(ONE);
  }
  t.true(spentCount > 0);
  t.true(spentCount <= BOUND.ratio * requestsCount + BOUND.slackCount);
});

test('a retry is charged to each service that its calls reach', t => {
  const {budget, takeAll} = createFixture(1);
  const tree = new Map([
    ['orders', 1],
    ['catalogue', 8],
  ]);
  for (let sent = 0; sent < 100; sent += 1) budget.recordRequest(ONE);
  const takenCount = takeAll(tree);
  t.is(takenCount, Math.floor((BOUND.slackCount * 0.375) / 8));
  t.true(budget.tryTake(ONE));
});

test('spent retries are available again after the window', t => {
  const {takeAll, advance} = createFixture(1);
  const first = takeAll(ONE);
  t.is(takeAll(ONE), 0);
  advance(9000);
  t.is(takeAll(ONE), 0);
  advance(1999);
  t.is(takeAll(ONE), 0);
  advance(1);
  t.is(takeAll(ONE), first);
});

test('retries of rejected requests last for the whole window', t => {
  // A service that rejects half of 1000 requests a second had no retries left
  // after two seconds, for the next eight: each was granted as long as the
  // window had any left.
  const {budget, advance} = createFixture(1);
  for (let millis = 0; millis < 10_000; millis += 1) {
    budget.recordRequest(ONE);
    advance(1);
  }
  const takePaced = (): number => {
    let takenCount = 0;
    while (budget.tryTakePaced(ONE)) takenCount += 1;
    return takenCount;
  };
  const first = takePaced();
  t.true(first > 100);
  t.true(first <= 0.2 * BOUND.ratio * 10_000);
  for (let second = 1; second < 4; second += 1) {
    advance(1000);
    t.true(takePaced() > 100);
  }
});

test('retries last as long as earlier requests are counted', t => {
  // The more of its requests were refused, the fewer retries a service got: the
  // budget counted the requests of the current window only, although the limit
  // counts those of the previous window too.
  const {budget, takeAll, advance} = createFixture(1);
  for (let millis = 0; millis < 10_000; millis += 10) {
    budget.recordRequest(ONE);
    advance(10);
  }
  advance(9000);
  t.true(takeAll(ONE) >= 0.5 * BOUND.ratio * 1000);
});

test('the spent part of the share is reported to operators', t => {
  const {budget, takeAll} = createFixture(1);
  for (let sent = 0; sent < 50; sent += 1) budget.recordRequest(ONE);
  const spentCount = takeAll(ONE);
  const [usage] = budget.usage();
  t.like(usage, {service: 'orders', spentCount});
  t.is(Math.floor(usage!.allowedCount), spentCount);
});

test('retries count for a whole window, whenever they were spent', t => {
  // A service got up to twice the retries that ten seconds allow. The window
  // was the ten buckets up to now, the last of which has just begun: retries
  // spent at 0.9 s were available again at 10.0 s, 0.9 s before the window was
  // over.
  const {takeAll, advance} = createFixture(1);
  advance(900);
  t.true(takeAll(ONE) > 0);
  advance(9100);
  t.is(takeAll(ONE), 0);
  advance(899);
  t.is(takeAll(ONE), 0);
});

test('retries spent before a restart of a node still count in its window', t => {
  // A fleet retried at its limit, lost power, and retried at its limit again:
  // one service got 328 retries in ten seconds that allow 240. A started node
  // has no record of what its previous process spent just before.
  let now = 60_000;
  const startNode = () =>
    createRetryBudget({
      bound: () => BOUND,
      nowMillis: () => now,
      nodesCount: () => 1,
    });
  const takeAll = (budget: RetryBudget): number => {
    let takenCount = 0;
    while (budget.tryTake(ONE)) takenCount += 1;
    return takenCount;
  };
  const serve = (budget: RetryBudget, untilMillis: number): number => {
    let takenCount = 0;
    while (now < untilMillis) {
      now += 10;
      budget.recordRequest(ONE);
      budget.recordExpectedCalls(ONE);
      if (budget !== previous) takenCount += takeAll(budget);
    }
    return takenCount;
  };
  const previous = startNode();
  serve(previous, 90_000);
  const previousCount = takeAll(previous);
  const laterCount = serve(startNode(), 99_900);
  const requestsCount = 1000;
  const allowedCount = BOUND.ratio * requestsCount + BOUND.slackCount;
  t.true(previousCount >= 0.6 * BOUND.ratio * requestsCount);
  t.true(laterCount > 0);
  t.true(
    previousCount + laterCount <= allowedCount,
    String([previousCount, laterCount]),
  );
});
