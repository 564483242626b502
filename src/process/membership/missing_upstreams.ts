/**
 * Upstreams whose entries are not there, and until when they stay in use.
 *
 * Load pattern: the source of documents is away, or comes back from an older copy.
 * Entries lapsed meanwhile, or were never in the copy, and their upstreams live and
 * write them again. Taken for upstreams that have left, a whole service would be
 * out of use for a second or two.
 */

/** What a missing entry means. */
export type MissingEntryState = 'gone' | 'kept' | 'awaited';

/** Upstreams whose entries are missing. */
export interface MissingUpstreams {
  readonly count: number;
  /**
   * An entry is missing; its removal was reported, or a read did not bring it.
   * `awaited` if it was missing before.
   */
  markMissing(id: string, wasRemoved: boolean): MissingEntryState;
  /** The entry is there, or its upstream has been removed. */
  forget(id: string): void;
  /** Ids of those whose grace period is over. */
  expiredIds(): readonly string[];
  markSourceLost(): void;
  markSourceRecovered(): void;
  /** The source came back from an older copy. */
  markSourceRestored(): void;
}

interface Missing {
  readonly untilMillis: number;
  /** Its removal was reported; otherwise a read did not bring it. */
  readonly wasRemoved: boolean;
}

/** A loss of the source shorter than this lets no entry lapse. */
const LAPSE_MILLIS = 1000;

/**
 * How long an entry that vanished while the source was away stays in use after
 * the source's return: entries that lapsed meanwhile, or that an older copy does
 * not hold, are back within two seconds if the upstream lives; one that is still
 * missing then is gone.
 */
export const REAPPEAR_GRACE_MILLIS = 2000;

/**
 * The same for an entry whose removal was reported after the return: it may have
 * lapsed, or its upstream has left and must get nothing two seconds later. Less
 * than that by the half second between two looks at what has aged.
 */
const LAPSED_MILLIS = 1400;

/** Creates an empty tracker. */
export function createMissingUpstreams(
  nowMillis: () => number,
): MissingUpstreams {
  const missing = new Map<string, Missing>();
  let lostSinceMillis: number | undefined;
  let keepUntilMillis = 0;

  /**
   * Who is awaited cannot write while the source is away, or is written over by its
   * copy. Let go at the first deadline, upstreams that live were out of use.
   */
  const extend = (extended: (untilMillis: number) => number): void => {
    for (const [id, {untilMillis, wasRemoved}] of missing) {
      if (wasRemoved) continue;
      missing.set(id, {untilMillis: extended(untilMillis), wasRemoved});
    }
  };

  return {
    get count() {
      return missing.size;
    },
    markMissing: (id, wasRemoved) => {
      const now = nowMillis();
      const before = missing.get(id);
      if (now >= (before?.untilMillis ?? keepUntilMillis)) return 'gone';
      if (before !== undefined) return 'awaited';
      const keptMillis = wasRemoved ? LAPSED_MILLIS : REAPPEAR_GRACE_MILLIS;
      const untilMillis = Math.min(keepUntilMillis, now + keptMillis);
      missing.set(id, {untilMillis, wasRemoved});
      return 'kept';
    },
    forget: id => {
      missing.delete(id);
    },
    expiredIds: () => {
      const now = nowMillis();
      // While the source is unavailable no return can be reported.
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
      const lostMillis = now - (lostSinceMillis ?? now);
      lostSinceMillis = undefined;
      extend(untilMillis => untilMillis + lostMillis);
      if (lostMillis > LAPSE_MILLIS) {
        keepUntilMillis = now + REAPPEAR_GRACE_MILLIS;
      }
    },
    markSourceRestored: () => {
      keepUntilMillis = nowMillis() + REAPPEAR_GRACE_MILLIS;
      extend(() => keepUntilMillis);
    },
  };
}
