/**
 * Retry grant of one request on one host, shared by its parallel calls.
 */
import type {DelegatedRetries} from './retry_grant.js';
import {RetryGrant} from './retry_grant.js';

/** Returns how many of the remaining retries are passed on with one attempt. */
export type DelegationRule = (remainingCount: number) => number;

/**
 * Delegates all retries but one. A retry deeper in the chain redoes less work,
 * so most of the grant is passed down. But a lost response discards the
 * delegated retries, and only a retry kept here can then be spent on the attempt.
 */
export const delegateAllButOne: DelegationRule = remainingCount =>
  Math.max(0, remainingCount - 1);

/** Creates a grant; a count that is not a finite number of at least 1 is 0. */
export function createRetryGrant(
  count: number,
  delegationRule: DelegationRule = delegateAllButOne,
): RetryGrant {
  return new SharedRetryGrant(toCount(count), delegationRule);
}

/**
 * A class, not a closure for each grant: every request and every hop has one.
 */
class SharedRetryGrant extends RetryGrant {
  private isClosed = false;

  constructor(
    private remainingCount: number,
    private readonly delegationRule: DelegationRule,
  ) {
    super();
  }

  override remaining(): number {
    return this.remainingCount;
  }

  override trySpend(): boolean {
    if (this.remainingCount < 1) return false;
    this.remainingCount -= 1;
    return true;
  }

  override delegate(): DelegatedRetries {
    const delegatedCount = this.delegationRule(this.remainingCount);
    this.remainingCount -= delegatedCount;
    let isSettled = false;
    return {
      count: delegatedCount,
      reclaim: unspentCount => {
        if (isSettled) return;
        isSettled = true;
        this.reclaim(unspentCount, delegatedCount);
      },
      discard: () => {
        isSettled = true;
      },
    };
  }

  override close(): number {
    const unspentCount = this.remainingCount;
    this.remainingCount = 0;
    this.isClosed = true;
    return unspentCount;
  }

  private reclaim(unspentCount: number, delegatedCount: number): void {
    // Retries that return after the grant was closed are lost: a parent that
    // abandoned its request reports the remainder while its calls still run,
    // and a retry counted by both sides would be spent twice.
    if (this.isClosed) return;
    // A faulty or corrupted callee could return more retries than it received,
    // which would exceed the limit.
    this.remainingCount += Math.min(toCount(unspentCount), delegatedCount);
  }
}

/**
 * Converts an untrusted count: whole, not negative, 0 if not a finite number.
 */
function toCount(value: number): number {
  return value >= 1 && Number.isFinite(value) ? Math.floor(value) : 0;
}
