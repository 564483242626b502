/**
 * Retry budget as a token bucket: first attempts and time put tokens in, a
 * retry takes one out.
 */
import type {TimeSource} from '../base/time_source.js';
import {RetryBudget} from './retry_budget.js';

const MILLIS_PER_SECOND = 1_000;

/** Tokens kept at most, so that a calm hour cannot pay for a retry storm. */
const MINIMUM_CAPACITY_COUNT = 10;

/** Options of the budget; the first two come from the policy. */
export interface RetryBudgetOptions {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** Retries allowed per second without any first attempt. */
  readonly minimumPerSecond: number;
  readonly time: TimeSource;
}

/** Creates a budget that holds one second's worth of the minimum rate. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const {time} = options;
  let ratio = options.ratio;
  let minimumPerSecond = options.minimumPerSecond;
  let refilledMillis = time.monotonicMillis();
  let tokensCount = Math.min(minimumPerSecond, capacityCount());

  function capacityCount(): number {
    return Math.max(MINIMUM_CAPACITY_COUNT, minimumPerSecond);
  }

  function add(count: number): void {
    tokensCount = Math.min(capacityCount(), tokensCount + count);
  }

  function refill(): void {
    const nowMillis = time.monotonicMillis();
    const elapsedMillis = nowMillis - refilledMillis;
    refilledMillis = nowMillis;
    add((elapsedMillis / MILLIS_PER_SECOND) * minimumPerSecond);
  }

  return new (class extends RetryBudget {
    override configure(newRatio: number, newMinimumPerSecond: number): void {
      // Time so far counts at the old rate.
      refill();
      ratio = newRatio;
      minimumPerSecond = newMinimumPerSecond;
      add(0);
    }
    override recordFirstAttempt(): void {
      add(ratio);
    }
    override tryTake(): boolean {
      refill();
      if (tokensCount < 1) return false;
      tokensCount -= 1;
      return true;
    }
  })();
}
