/**
 * Evidence of which requests crash the upstreams that run them: the crashes
 * during which each request was in progress, except those it was cleared of.
 *
 * Load pattern: a caller sends one request again and again, and it crashes
 * every upstream that runs it, together with all other requests in progress
 * there. Evidence is a set that only grows and is merged by union: nodes that
 * have seen different crashes converge within seconds, even if messages are
 * lost, repeated or reordered.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {CrashFields, CrashSummary} from '../../protocol/crash_messages.js';

/** A crash during which a suspected request was in progress. */
export interface SuspectCrash {
  readonly crashId: string;
  readonly upstreamId: string;
  readonly ageMillis: number;
}

/** A request that was in progress during crashes. */
export interface CrashSuspect {
  readonly fingerprint: string;
  readonly isQuarantined: boolean;
  readonly crashes: readonly SuspectCrash[];
}

/** Crash evidence of one node. */
export interface CrashEvidence {
  /** Whether no request is suspected. */
  readonly isEmpty: boolean;
  /** Equal for equal evidence. */
  readonly digest: string;
  /**
   * Highest number of crashes during which one of these fingerprints was in
   * progress.
   */
  crashesCount(fingerprints: readonly string[]): number;
  isQuarantined(fingerprints: readonly string[]): boolean;
  /**
   * Time since the last crash of these fingerprints; infinite if there is none.
   */
  lastCrashAgeMillis(fingerprints: readonly string[]): number;
  /** Adds crashes seen here or reported by another node; returns the new ones. */
  add(crashes: readonly CrashFields[]): readonly CrashFields[];
  /**
   * Records that a request was answered and thus does not crash the upstreams
   * that run it. Returns whether it was suspected.
   */
  clear(fingerprints: readonly string[]): boolean;
  /**
   * Returns a crash to send to another node; `undefined` if it is not known.
   */
  find(crashId: string): CrashFields | undefined;
  /** Summaries of all crashes. */
  summaries(): readonly CrashSummary[];
  /** Suspected requests, those with most crashes first. */
  suspects(): readonly CrashSuspect[];
  readonly quarantinedCount: number;
  /** Removes crashes that are older than the retention time. */
  expire(): void;
}

/** Dependencies of crash evidence. */
export interface CrashEvidenceOptions {
  readonly nowMillis: () => number;
  /**
   * Called when a request was in progress during enough crashes to be refused.
   */
  readonly onQuarantined: (suspect: CrashSuspect) => void;
  /** Called when a refused request was cleared, or its evidence has expired. */
  readonly onReleased: (fingerprint: string) => void;
}

/** Crashes after which a request is no longer run. */
export const QUARANTINE_CRASHES_COUNT = 3;

/** Time for which a crash counts. */
export const RETENTION_MILLIS = 3_600_000;

/**
 * Maximum number of pairs of a crash and a fingerprint, of some hundred bytes
 * each.
 */
export const MAX_CRASH_FINGERPRINT_PAIRS_COUNT = 8192;

interface KnownCrash {
  readonly crashId: string;
  readonly upstreamId: string;
  readonly atMillis: number;
  /**
   * Fingerprints of the requests in progress; true if cleared of this crash.
   */
  readonly clearedByFingerprint: Map<string, boolean>;
}

/** Creates empty evidence. */
export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const {nowMillis} = options;
  const crashes = new Map<string, KnownCrash>();
  /** Crashes during which each fingerprint was in progress. */
  const crashesByFingerprint = new Map<string, Set<KnownCrash>>();
  /** Those of them that the fingerprint was not cleared of. */
  const suspects = new Map<string, Set<KnownCrash>>();
  const quarantined = new Set<string>();
  let pairsCount = 0;
  let cachedDigest: string | undefined;

  const updateQuarantine = (fingerprint: string): void => {
    const count = suspects.get(fingerprint)?.size ?? 0;
    const isQuarantined = count >= QUARANTINE_CRASHES_COUNT;
    if (isQuarantined === quarantined.has(fingerprint)) return;
    if (isQuarantined) {
      quarantined.add(fingerprint);
      options.onQuarantined(describe(fingerprint));
    } else {
      quarantined.delete(fingerprint);
      options.onReleased(fingerprint);
    }
  };

  /** Adds a fingerprint to a crash, or clears it, which is never undone. */
  const addFingerprint = (
    crash: KnownCrash,
    fingerprint: string,
    isCleared: boolean,
  ): void => {
    const wasCleared = crash.clearedByFingerprint.get(fingerprint);
    if (wasCleared === true || wasCleared === isCleared) return;
    if (wasCleared === undefined) {
      pairsCount += 1;
      addTo(crashesByFingerprint, fingerprint, crash);
    }
    crash.clearedByFingerprint.set(fingerprint, isCleared);
    cachedDigest = undefined;
    if (isCleared) removeFrom(suspects, fingerprint, crash);
    else addTo(suspects, fingerprint, crash);
    updateQuarantine(fingerprint);
  };

  const remove = (crash: KnownCrash): void => {
    crashes.delete(crash.crashId);
    cachedDigest = undefined;
    pairsCount -= crash.clearedByFingerprint.size;
    for (const fingerprint of crash.clearedByFingerprint.keys()) {
      removeFrom(crashesByFingerprint, fingerprint, crash);
      removeFrom(suspects, fingerprint, crash);
      updateQuarantine(fingerprint);
    }
  };

  /**
   * Clearances that are sent to other nodes. Most requests are in progress
   * during one crash only and are cleared moments later: their clearances would
   * make up most of the messages and change no decision.
   */
  const sharedClearances = ({
    clearedByFingerprint,
  }: KnownCrash): ReadonlySet<string> => {
    const shared = new Set<string>();
    for (const [fingerprint, isCleared] of clearedByFingerprint) {
      const count = crashesByFingerprint.get(fingerprint)?.size ?? 0;
      if (isCleared && count > 1) shared.add(fingerprint);
    }
    return shared;
  };

  const digestOf = (crash: KnownCrash): number => {
    let digest = fnvHash(crash.crashId);
    for (const fingerprint of sharedClearances(crash)) {
      digest ^= fnvHash(`${crash.crashId} ${fingerprint}`);
    }
    return digest;
  };

  const digestOfAll = (): string => {
    let digest = 0;
    for (const crash of crashes.values()) digest ^= digestOf(crash);
    return `${String(pairsCount)}.${encodeDigest(digest)}`;
  };

  const fieldsOf = (crash: KnownCrash): CrashFields => {
    const shared = sharedClearances(crash);
    return {
      crashId: crash.crashId,
      upstreamId: crash.upstreamId,
      ageMillis: Math.round(nowMillis() - crash.atMillis),
      fingerprints: [...crash.clearedByFingerprint.keys()].filter(
        fingerprint => !shared.has(fingerprint),
      ),
      clearedFingerprints: [...shared],
    };
  };

  const addCrash = (fields: CrashFields): void => {
    const crash = crashes.get(fields.crashId) ?? {
      crashId: fields.crashId,
      upstreamId: fields.upstreamId,
      atMillis: nowMillis() - fields.ageMillis,
      clearedByFingerprint: new Map<string, boolean>(),
    };
    crashes.set(crash.crashId, crash);
    cachedDigest = undefined;
    for (const fingerprint of fields.clearedFingerprints) {
      addFingerprint(crash, fingerprint, true);
    }
    for (const fingerprint of fields.fingerprints) {
      addFingerprint(crash, fingerprint, false);
    }
  };

  /**
   * The oldest crash during which no quarantined request was in progress; a
   * flood of crashing requests must not release an earlier one.
   */
  const findEvictable = (): KnownCrash | undefined => {
    const byAge = [...crashes.values()].sort((a, b) => a.atMillis - b.atMillis);
    const hasQuarantined = ({clearedByFingerprint}: KnownCrash): boolean =>
      [...clearedByFingerprint.keys()].some(fingerprint =>
        quarantined.has(fingerprint),
      );
    return byAge.find(crash => !hasQuarantined(crash)) ?? byAge[0];
  };

  const evict = (): void => {
    while (pairsCount > MAX_CRASH_FINGERPRINT_PAIRS_COUNT) {
      const crash = findEvictable();
      if (crash === undefined) return;
      remove(crash);
    }
  };

  const describe = (fingerprint: string): CrashSuspect => ({
    fingerprint,
    isQuarantined: quarantined.has(fingerprint),
    crashes: [...(suspects.get(fingerprint) ?? [])].map(crash => ({
      crashId: crash.crashId,
      upstreamId: crash.upstreamId,
      ageMillis: Math.round(nowMillis() - crash.atMillis),
    })),
  });

  return {
    get isEmpty() {
      return suspects.size === 0;
    },
    get digest() {
      cachedDigest ??= digestOfAll();
      return cachedDigest;
    },
    crashesCount: fingerprints =>
      Math.max(
        0,
        ...fingerprints.map(
          fingerprint => suspects.get(fingerprint)?.size ?? 0,
        ),
      ),
    isQuarantined: fingerprints =>
      fingerprints.some(fingerprint => quarantined.has(fingerprint)),
    lastCrashAgeMillis: fingerprints => {
      const lastMillis = Math.max(
        ...fingerprints.flatMap(fingerprint =>
          [...(suspects.get(fingerprint) ?? [])].map(crash => crash.atMillis),
        ),
      );
      return nowMillis() - lastMillis;
    },
    add: reported => {
      const current = reported.filter(
        ({ageMillis}) => ageMillis < RETENTION_MILLIS,
      );
      const added = current.filter(({crashId}) => !crashes.has(crashId));
      for (const fields of current) addCrash(fields);
      evict();
      return added;
    },
    clear: fingerprints => {
      let hasChanged = false;
      for (const fingerprint of fingerprints) {
        for (const crash of [...(suspects.get(fingerprint) ?? [])]) {
          addFingerprint(crash, fingerprint, true);
          hasChanged = true;
        }
      }
      return hasChanged;
    },
    find: crashId => {
      const crash = crashes.get(crashId);
      return crash === undefined ? undefined : fieldsOf(crash);
    },
    summaries: () =>
      [...crashes.values()].map(crash => ({
        crashId: crash.crashId,
        digest: encodeDigest(digestOf(crash)),
      })),
    suspects: () =>
      [...suspects.keys()]
        .map(describe)
        .sort((a, b) => b.crashes.length - a.crashes.length),
    get quarantinedCount() {
      return quarantined.size;
    },
    expire: () => {
      const sinceMillis = nowMillis() - RETENTION_MILLIS;
      for (const crash of [...crashes.values()]) {
        if (crash.atMillis <= sinceMillis) remove(crash);
      }
    },
  };
}

function addTo(
  crashesOf: Map<string, Set<KnownCrash>>,
  fingerprint: string,
  crash: KnownCrash,
): void {
  const known = crashesOf.get(fingerprint) ?? new Set();
  known.add(crash);
  crashesOf.set(fingerprint, known);
}

function removeFrom(
  crashesOf: Map<string, Set<KnownCrash>>,
  fingerprint: string,
  crash: KnownCrash,
): void {
  const known = crashesOf.get(fingerprint);
  known?.delete(crash);
  if (known?.size === 0) crashesOf.delete(fingerprint);
}

function encodeDigest(digest: number): string {
  return (digest >>> 0).toString(36);
}
