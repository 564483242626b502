/**
 * Retry grant of one request on one host: a pool that parallel calls share.
 */
import type {DelegatedRetries} from './retry_grant.js';
import {RetryGrant} from './retry_grant.js';

/** Part of the remaining retries that goes with one attempt. */
export type DelegationRule = (remainingCount: number) => number;

/**
 * Lends all but one. The deeper a retry, the less work it repeats, so most of
 * the grant goes down; but an answer that is lost forfeits what was lent, and
 * only a retry kept back can then repeat the attempt from here.
 */
export const delegateAllButOne: DelegationRule = remainingCount =>
  Math.max(0, remainingCount - 1);

/** Creates a grant; a count that is not a number of at least 1 is 0. */
export function createRetryGrant(
  count: number,
  lendingRule: DelegationRule = delegateAllButOne,
): RetryGrant {
  return new SharedRetryGrant(toCount(count), lendingRule);
}

/** One class for all grants: every request and every hop has one. */
class SharedRetryGrant extends RetryGrant {
  private isClosed = false;

  constructor(
    private remainingCount: number,
    private readonly lendingRule: DelegationRule,
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
    const lentCount = this.lendingRule(this.remainingCount);
    this.remainingCount -= lentCount;
    let isSettled = false;
    return {
      count: lentCount,
      reclaim: unspentCount => {
        if (isSettled) return;
        isSettled = true;
        this.takeBack(unspentCount, lentCount);
      },
      discard: () => {
        isSettled = true;
      },
    };
  }

  override close(): number {
    const leftCount = this.remainingCount;
    this.remainingCount = 0;
    this.isClosed = true;
    return leftCount;
  }

  private takeBack(unspentCount: number, lentCount: number): void {
    // What comes back after the rest was given away is lost: a parent that gave
    // up reports its remainder while its calls still run, and a retry that both
    // sides count as theirs would be spent twice.
    if (this.isClosed) return;
    // A callee that is mistaken or corrupted could claim more than it was lent
    // and so create retries out of nothing; the bound would break.
    this.remainingCount += Math.min(toCount(unspentCount), lentCount);
  }
}

/** Reads a count from outside: whole, not negative, 0 when not a number. */
function toCount(value: number): number {
  return value >= 1 && Number.isFinite(value) ? Math.floor(value) : 0;
}
