import test from 'ava';
import {importanceOf} from '../../../../src/process/admission/importance.js';
import {createRepeatBudget} from '../../../../src/process/repeats/repeat_budget.js';
import {urgencyOf} from '../../../../src/process/repeats/repeat_urgency.js';

const BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 0};
const ONE = new Map([['catalogue', 1]]);

const urgency = (rank: number, doneCallsCount: number): number =>
  urgencyOf({importance: importanceOf(rank, 'a'), doneCallsCount});

test('a repeat that saves more goes first', t => {
  t.true(urgency(0, 3) > urgency(0, 0));
  t.true(urgency(0, 0) > urgency(1, 0));
  t.true(urgency(0, 0) > urgency(2, 3));
  t.true(urgency(0, 100) <= 1);
  t.true(urgency(7, 0) > 0);
});

test('repeats of one second are kept for those that save most', t => {
  // Load: a service rejects half of 1000 requests a second after a quiet window.
  // Symptom: its repeats are used up within two seconds, one for each request,
  // and none of them gets the ten that it needs.
  let now = 0;
  const budget = createRepeatBudget({
    bound: () => BOUND,
    nowMillis: () => now,
    nodesCount: () => 1,
  });
  for (; now < 10_000; now += 1) budget.recordRequest(ONE);
  const take = (each: number): number => {
    let count = 0;
    while (budget.tryTakePaced(ONE, each)) count += 1;
    return count;
  };
  const first = take(urgency(2, 0));
  const second = take(urgency(0, 3));
  t.true(second > 2 * first, `${first} and ${second}`);
  t.true(first + second <= 0.2 * BOUND.ratio * 10_000);
  now += 1000;
  t.true(take(1) > 0);
});

test('repeats last as long as the requests before are counted', t => {
  // Symptom: a service gets fewer repeats the more of its requests are turned
  // away. Cause: the budget counted the requests of the window alone, and the
  // bound those of the window before as well.
  let now = 0;
  const budget = createRepeatBudget({
    bound: () => BOUND,
    nowMillis: () => now,
    nodesCount: () => 1,
  });
  for (; now < 10_000; now += 10) budget.recordRequest(ONE);
  now += 9000;
  let count = 0;
  while (budget.tryTake(ONE)) count += 1;
  t.is(count, 120);
});
