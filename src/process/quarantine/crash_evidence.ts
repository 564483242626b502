/**
 * Which requests crash the upstreams that run them: the crashes under which each
 * was in progress, less those it was cleared of.
 *
 * Load pattern: a caller sends one request again and again, and it ends every
 * upstream that runs it, together with all requests in progress there. The fleet
 * has to agree within seconds, whichever nodes have seen the crashes. Evidence is
 * therefore a set that only grows and is merged by union, so that messages may be
 * lost, repeated and reordered.
 */
import type {CrashFields} from '../../protocol/crash_fields.js';

/** One crash that a suspect was in progress under. */
export interface CrashSighting {
  readonly crashId: string;
  readonly upstreamId: string;
  readonly ageMillis: number;
}

/** A request that was in progress under crashes. */
export interface CrashSuspect {
  readonly fingerprint: string;
  readonly isQuarantined: boolean;
  readonly crashes: readonly CrashSighting[];
}

/** Evidence of one node. */
export interface CrashEvidence {
  /** No request is suspected. */
  readonly isEmpty: boolean;
  /** Equal for equal evidence. */
  readonly digest: string;
  /** Crashes under which any of these fingerprints was in progress. */
  crashesCount(fingerprints: readonly string[]): number;
  isQuarantined(fingerprints: readonly string[]): boolean;
  /** Time since the last of these crashes; infinite if there is none. */
  lastCrashAgeMillis(fingerprints: readonly string[]): number;
  /** Adds crashes seen here or reported by another node; tells if any was new. */
  add(crashes: readonly CrashFields[]): boolean;
  /** A request was answered: it does not crash the upstreams that run it. */
  clear(fingerprints: readonly string[]): boolean;
  /** All crashes, for another node. */
  crashes(): readonly CrashFields[];
  /** Requests that are suspected, those with most crashes first. */
  suspects(): readonly CrashSuspect[];
  readonly quarantinedCount: number;
  /** Removes what is older than the retention time. */
  expire(): void;
}

/** What evidence needs. */
export interface CrashEvidenceOptions {
  readonly nowMillis: () => number;
  /** A request has been in progress under enough crashes to be refused. */
  readonly onQuarantined: (suspect: CrashSuspect) => void;
  /** A request that was refused was cleared, or its evidence has expired. */
  readonly onReleased: (fingerprint: string) => void;
}

/** Crashes after which a request is not run any more. */
export const QUARANTINE_CRASHES_COUNT = 3;

/** Time for which a crash counts. */
export const RETENTION_MILLIS = 3_600_000;

/** Bounds the memory of a node, at some hundred bytes each. */
export const MAX_SIGHTINGS_COUNT = 8192;

interface KnownCrash {
  readonly crashId: string;
  readonly upstreamId: string;
  readonly atMillis: number;
  /** Fingerprints of the requests in progress; true if cleared of this crash. */
  readonly isClearedOf: Map<string, boolean>;
}

/** Creates evidence of nothing. */
export function createCrashEvidence(
  options: CrashEvidenceOptions,
): CrashEvidence {
  const {nowMillis} = options;
  const crashes = new Map<string, KnownCrash>();
  /** Crashes that a fingerprint was not cleared of. */
  const suspects = new Map<string, Set<KnownCrash>>();
  const quarantined = new Set<string>();
  let sightingsCount = 0;
  let digest = 0;

  const settle = (fingerprint: string): void => {
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

  const suspect = (fingerprint: string, crash: KnownCrash): void => {
    const known = suspects.get(fingerprint) ?? new Set();
    known.add(crash);
    suspects.set(fingerprint, known);
  };

  const unsuspect = (fingerprint: string, crash: KnownCrash): void => {
    const known = suspects.get(fingerprint);
    known?.delete(crash);
    if (known?.size === 0) suspects.delete(fingerprint);
  };

  /** Adds a sighting, or what is new about it; a clearance is never undone. */
  const addSighting = (
    crash: KnownCrash,
    fingerprint: string,
    isCleared: boolean,
  ): boolean => {
    const wasCleared = crash.isClearedOf.get(fingerprint);
    if (wasCleared === true || wasCleared === isCleared) return false;
    crash.isClearedOf.set(fingerprint, isCleared);
    digest ^= sightingDigest(crash.crashId, fingerprint, isCleared);
    if (wasCleared === undefined) {
      sightingsCount += 1;
    } else {
      digest ^= sightingDigest(crash.crashId, fingerprint, wasCleared);
    }
    if (isCleared) unsuspect(fingerprint, crash);
    else suspect(fingerprint, crash);
    settle(fingerprint);
    return true;
  };

  const remove = (crash: KnownCrash): void => {
    crashes.delete(crash.crashId);
    sightingsCount -= crash.isClearedOf.size;
    for (const [fingerprint, isCleared] of crash.isClearedOf) {
      digest ^= sightingDigest(crash.crashId, fingerprint, isCleared);
      unsuspect(fingerprint, crash);
      settle(fingerprint);
    }
  };

  const addCrash = (fields: CrashFields): boolean => {
    if (fields.ageMillis >= RETENTION_MILLIS) return false;
    const crash = crashes.get(fields.crashId) ?? {
      crashId: fields.crashId,
      upstreamId: fields.upstreamId,
      atMillis: nowMillis() - fields.ageMillis,
      isClearedOf: new Map<string, boolean>(),
    };
    crashes.set(crash.crashId, crash);
    let hasChanged = false;
    for (const fingerprint of fields.clearedFingerprints) {
      if (addSighting(crash, fingerprint, true)) hasChanged = true;
    }
    for (const fingerprint of fields.fingerprints) {
      if (addSighting(crash, fingerprint, false)) hasChanged = true;
    }
    return hasChanged;
  };

  /**
   * The oldest crash under which no quarantined request was in progress; a flood of
   * crashing requests must not release an earlier one.
   */
  const leastUseful = (): KnownCrash | undefined => {
    const byAge = [...crashes.values()].sort((a, b) => a.atMillis - b.atMillis);
    const isUseful = ({isClearedOf}: KnownCrash): boolean =>
      [...isClearedOf.keys()].some(fingerprint => quarantined.has(fingerprint));
    return byAge.find(crash => !isUseful(crash)) ?? byAge[0];
  };

  const evict = (): void => {
    while (sightingsCount > MAX_SIGHTINGS_COUNT) {
      const crash = leastUseful();
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
      return `${String(sightingsCount)}.${(digest >>> 0).toString(16)}`;
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
      let hasChanged = false;
      for (const fields of reported) {
        if (addCrash(fields)) hasChanged = true;
      }
      evict();
      return hasChanged;
    },
    clear: fingerprints => {
      let hasChanged = false;
      for (const fingerprint of fingerprints) {
        for (const crash of [...(suspects.get(fingerprint) ?? [])]) {
          addSighting(crash, fingerprint, true);
          hasChanged = true;
        }
      }
      return hasChanged;
    },
    crashes: () =>
      [...crashes.values()].map(crash => fieldsOf(crash, nowMillis())),
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

function fieldsOf(crash: KnownCrash, nowMillis: number): CrashFields {
  const fingerprints: string[] = [];
  const clearedFingerprints: string[] = [];
  for (const [fingerprint, isCleared] of crash.isClearedOf) {
    (isCleared ? clearedFingerprints : fingerprints).push(fingerprint);
  }
  return {
    crashId: crash.crashId,
    upstreamId: crash.upstreamId,
    ageMillis: Math.round(nowMillis - crash.atMillis),
    fingerprints,
    clearedFingerprints,
  };
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a of one sighting; the digest of all is the exclusive or of theirs. */
function sightingDigest(
  crashId: string,
  fingerprint: string,
  isCleared: boolean,
): number {
  const text = `${crashId} ${fingerprint} ${isCleared ? 'cleared' : ''}`;
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}
