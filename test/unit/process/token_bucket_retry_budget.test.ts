import test from 'ava';
import fc from 'fast-check';
import {createRetryBudget} from '../../../src/process/token_bucket_retry_budget.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

/** Tokens a bucket may hold at the rates used here. */
const CAPACITY_COUNT = 10;

function takeAll(budget: ReturnType<typeof createRetryBudget>): number {
  let takenCount = 0;
  while (budget.tryTake()) takenCount += 1;
  return takenCount;
}

test('first attempts and time fill the bucket up to its capacity', t => {
  const time = createManualTimeSource();
  const budget = createRetryBudget({ratio: 0.1, minimumPerSecond: 2, time});
  t.is(takeAll(budget), 2);
  for (let count = 0; count < 35; count += 1) budget.recordFirstAttempt();
  t.is(takeAll(budget), 3);
  time.advance(1_500);
  t.is(takeAll(budget), 3);
  time.advance(3_600_000);
  t.is(takeAll(budget), CAPACITY_COUNT);
});

test('new rates count from the change on', t => {
  const time = createManualTimeSource();
  const budget = createRetryBudget({ratio: 0, minimumPerSecond: 1, time});
  t.is(takeAll(budget), 1);
  time.advance(2_000);
  budget.configure(1, 0);
  time.advance(10_000);
  budget.recordFirstAttempt();
  t.is(takeAll(budget), 3);
});

test('retries never exceed the ratio, the minimum and the capacity together', t => {
  // Symptom: a node retries nearly every call while its callees are down. A
  // calm time is followed by failures of everything. Cause: what was not used
  // is saved up without limit, or a wall clock step counts as time.
  fc.assert(
    fc.property(
      fc.float({min: 0, max: 1, noNaN: true}),
      fc.integer({min: 0, max: 10}),
      fc.array(fc.tuple(fc.nat(50), fc.nat(2_000), fc.nat(50))),
      (ratio, minimumPerSecond, rounds) => {
        const time = createManualTimeSource();
        const budget = createRetryBudget({ratio, minimumPerSecond, time});
        let allowedCount = CAPACITY_COUNT;
        let takenCount = 0;
        for (const [firstAttempts, millis, wanted] of rounds) {
          for (let i = 0; i < firstAttempts; i += 1) {
            budget.recordFirstAttempt();
          }
          time.advance(millis);
          time.stepWall(10_000);
          for (let i = 0; i < wanted; i += 1) {
            if (budget.tryTake()) takenCount += 1;
          }
          allowedCount +=
            firstAttempts * ratio + (millis / 1_000) * minimumPerSecond;
          if (takenCount > allowedCount) return false;
        }
        return true;
      },
    ),
    {numRuns: 300, seed: 3},
  );
  t.pass();
});
