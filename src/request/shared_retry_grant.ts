/**
 * Retry grant of one request on one host: a pool that parallel calls share.
 */
import type {RetryLoan} from './retry_grant.js';
import {RetryGrant} from './retry_grant.js';

/** Creates a grant of `count` retries; what is not a positive integer is 0. */
export function createRetryGrant(count: number): RetryGrant {
  let remainingCount = toCount(count);

  function createLoan(lentCount: number): RetryLoan {
    let isSettled = false;
    return {
      count: lentCount,
      settle: unspentCount => {
        if (isSettled) return;
        isSettled = true;
        // A callee that is mistaken or corrupted could claim more than it was
        // lent and so create retries out of nothing; the bound would break.
        remainingCount += Math.min(toCount(unspentCount), lentCount);
      },
      forfeit: () => {
        isSettled = true;
      },
    };
  }

  return new (class extends RetryGrant {
    override remaining(): number {
      return remainingCount;
    }
    override trySpend(): boolean {
      if (remainingCount < 1) return false;
      remainingCount -= 1;
      return true;
    }
    override lend(): RetryLoan {
      const lentCount = loanCount(remainingCount);
      remainingCount -= lentCount;
      return createLoan(lentCount);
    }
  })();
}

/**
 * Half of what is left, rounded up: a lost answer forfeits at most that, and
 * a sibling call or a retry of this hop finds the rest.
 */
function loanCount(remainingCount: number): number {
  return Math.ceil(remainingCount / 2);
}

/** Reads a count from outside: whole, not negative, 0 when not a number. */
function toCount(value: number): number {
  return value >= 1 && Number.isFinite(value) ? Math.floor(value) : 0;
}
