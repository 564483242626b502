/**
 * Tracks upstreams whose entries are missing, and until when they stay in use.
 *
 * Load pattern: the source of documents is unavailable, or is restored from an
 * older copy. Entries expired meanwhile, or were never in the copy, although
 * their upstreams are alive and write them again. If these upstreams were
 * treated as departed, a whole service would be out of use for a second or two.
 */

/** State of an upstream whose entry is missing. */
export type MissingEntryState = 'gone' | 'kept' | 'awaited';

/** Tracks the upstreams whose entries are missing. */
export interface MissingUpstreams {
  readonly count: number;
  /**
   * Records that an entry is missing: its removal was reported, or a read did
   * not return it. The caller removes the upstream if the result is `gone`, and
   * otherwise leaves it in use: `kept` starts its grace period, and `awaited`
   * means that the period is already running and nothing has changed.
   */
  markMissing(id: string, wasRemoved: boolean): MissingEntryState;
  /**
   * Stops tracking: the entry is present again, or its upstream was removed.
   */
  forget(id: string): void;
  /** Returns the ids of upstreams whose grace period is over. */
  expiredIds(): readonly string[];
  markSourceLost(): void;
  markSourceRecovered(): void;
  /** Records that the source was restored from an older copy. */
  markSourceRestored(): void;
}

interface Missing {
  readonly untilMillis: number;
  /** Its removal was reported; otherwise a read did not return it. */
  readonly wasRemoved: boolean;
}

/** An outage of the source shorter than this does not let entries expire. */
const MIN_EXPIRY_OUTAGE_MILLIS = 1000;

/**
 * Grace period, after the source's return, of an entry that disappeared during
 * an outage: entries that expired meanwhile, or that an older copy lacks, are
 * written again within two seconds if the upstream is alive; one that is still
 * missing then has left.
 */
export const REAPPEAR_GRACE_MILLIS = 2000;

/**
 * The same for an entry whose removal was reported after the return: it may
 * have expired, or its upstream has left and must get no requests two seconds
 * later. Shorter than that by the half second between two expiry checks.
 */
const REMOVED_GRACE_MILLIS = 1400;

/** Creates an empty tracker. */
export function createMissingUpstreams(
  nowMillis: () => number,
): MissingUpstreams {
  const missing = new Map<string, Missing>();
  let lostSinceMillis: number | undefined;
  let graceEndMillis = 0;

  /**
   * Upstreams cannot write their entries while the source is unavailable, or
   * its copy overwrites them. At the original deadline, live upstreams would be
   * removed.
   */
  const extendGracePeriods = (
    newEndOf: (untilMillis: number) => number,
  ): void => {
    for (const [id, {untilMillis, wasRemoved}] of missing) {
      if (wasRemoved) continue;
      missing.set(id, {untilMillis: newEndOf(untilMillis), wasRemoved});
    }
  };

  return {
    get count() {
      return missing.size;
    },
    markMissing: (id, wasRemoved) => {
      const now = nowMillis();
      const previous = missing.get(id);
      if (now >= (previous?.untilMillis ?? graceEndMillis)) return 'gone';
      if (previous !== undefined) return 'awaited';
      const graceMillis = wasRemoved
        ? REMOVED_GRACE_MILLIS
        : REAPPEAR_GRACE_MILLIS;
      const untilMillis = Math.min(graceEndMillis, now + graceMillis);
      missing.set(id, {untilMillis, wasRemoved});
      return 'kept';
    },
    forget: id => {
      missing.delete(id);
    },
    expiredIds: () => {
      const now = nowMillis();
      // An unavailable source cannot report that an entry is present again.
      const isLost = lostSinceMillis !== undefined;
      return [...missing]
        .filter(([, entry]) => entry.wasRemoved || !isLost)
        .filter(([, {untilMillis}]) => now >= untilMillis)
        .map(([id]) => id);
    },
    markSourceLost: () => {
      lostSinceMillis ??= nowMillis();
    },
    markSourceRecovered: () => {
      const now = nowMillis();
      const outageMillis = now - (lostSinceMillis ?? now);
      lostSinceMillis = undefined;
      extendGracePeriods(untilMillis => untilMillis + outageMillis);
      if (outageMillis > MIN_EXPIRY_OUTAGE_MILLIS) {
        graceEndMillis = now + REAPPEAR_GRACE_MILLIS;
      }
    },
    markSourceRestored: () => {
      graceEndMillis = nowMillis() + REAPPEAR_GRACE_MILLIS;
      extendGracePeriods(() => graceEndMillis);
    },
  };
}
