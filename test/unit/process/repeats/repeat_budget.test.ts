import test from 'ava';
import type {RepeatBudget} from '../../../../src/process/repeats/repeat_budget.js';
import {createRepeatBudget} from '../../../../src/process/repeats/repeat_budget.js';

const BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 40};

function createFixture(nodesCount: number) {
  let now = 0;
  const budget = createRepeatBudget({
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

test('nodes together stay within the bound without asking each other', t => {
  // Symptom: a service that fails gets more repeats than the fleet may send.
  // Ten nodes each see a tenth of the requests and spend on their own.
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

test('a repeat is charged at each service that its calls reach', t => {
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

test('what was spent is free again after the window', t => {
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

test('repeats of rejected requests last for the whole window', t => {
  // Symptom: a service that rejects half of 1000 requests a second has no repeats
  // left after two seconds, for eight more. Cause: each was granted as long as
  // any of the window's was left.
  const {budget, advance} = createFixture(1);
  for (let millis = 0; millis < 10_000; millis += 1) {
    budget.recordRequest(ONE);
    advance(1);
  }
  const takeInTime = (): number => {
    let takenCount = 0;
    while (budget.tryTakePaced(ONE)) takenCount += 1;
    return takenCount;
  };
  const first = takeInTime();
  t.true(first > 100);
  t.true(first <= 0.2 * BOUND.ratio * 10_000);
  for (let second = 1; second < 4; second += 1) {
    advance(1000);
    t.true(takeInTime() > 100);
  }
});

test('repeats last as long as the requests before are counted', t => {
  // Symptom: a service gets fewer repeats the more of its requests are turned
  // away. Cause: the budget counted the requests of the window alone, and the
  // bound those of the window before as well.
  const {budget, takeAll, advance} = createFixture(1);
  for (let millis = 0; millis < 10_000; millis += 10) {
    budget.recordRequest(ONE);
    advance(10);
  }
  advance(9000);
  t.true(takeAll(ONE) >= 0.5 * BOUND.ratio * 1000);
});

test('operators see what was spent of the share', t => {
  const {budget, takeAll} = createFixture(1);
  for (let sent = 0; sent < 50; sent += 1) budget.recordRequest(ONE);
  const spentCount = takeAll(ONE);
  const [use] = budget.usage();
  t.like(use, {service: 'orders', spentCount});
  t.is(Math.floor(use!.allowedCount), spentCount);
});

test('what was spent counts for the whole window, whenever it was spent', t => {
  // A service gets up to twice the repeats that ten seconds allow. The window was
  // the ten parts up to now, the last of which has just begun: what was spent at
  // 0.9 s was free again at 10.0 s, 0.9 s before the window was over.
  const {takeAll, advance} = createFixture(1);
  advance(900);
  t.true(takeAll(ONE) > 0);
  advance(9100);
  t.is(takeAll(ONE), 0);
  advance(899);
  t.is(takeAll(ONE), 0);
});

test('what a former start of a node spent still counts in its window', t => {
  // A fleet repeats at its bound, loses power, and repeats at its bound again: one
  // service gets 328 repeats in ten seconds that allow 240. A node that has started
  // knows nothing of what its former start spent a moment before.
  let now = 60_000;
  const startNode = () =>
    createRepeatBudget({
      bound: () => BOUND,
      nowMillis: () => now,
      nodesCount: () => 1,
    });
  const takeAll = (budget: RepeatBudget): number => {
    let takenCount = 0;
    while (budget.tryTake(ONE)) takenCount += 1;
    return takenCount;
  };
  const serve = (budget: RepeatBudget, untilMillis: number): number => {
    let takenCount = 0;
    while (now < untilMillis) {
      now += 10;
      budget.recordRequest(ONE);
      budget.recordExpectedCalls(ONE);
      if (budget !== former) takenCount += takeAll(budget);
    }
    return takenCount;
  };
  const former = startNode();
  serve(former, 90_000);
  const formerCount = takeAll(former);
  const laterCount = serve(startNode(), 99_900);
  const requestsCount = 1000;
  const allowedCount = BOUND.ratio * requestsCount + BOUND.slackCount;
  t.true(formerCount >= 0.6 * BOUND.ratio * requestsCount);
  t.true(laterCount > 0);
  t.true(
    formerCount + laterCount <= allowedCount,
    String([formerCount, laterCount]),
  );
});
