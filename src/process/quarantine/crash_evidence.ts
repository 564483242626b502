/**
 * Evidence of which requests crash the upstreams that run them: the crashes under
 * which each was in progress, less those it was cleared of.
 *
 * Load pattern: a caller sends one request again and again, and it crashes every
 * upstream that runs it, with all requests in progress there. Evidence is a set that
 * only grows and is merged by union: nodes that have seen different crashes agree
 * within seconds, whether messages are lost, repeated or reordered.
 */
import {fnvHash} from '../../base/fnv_hash.js';
import type {CrashFields, CrashSummary} from '../../protocol/crash_messages.js';

/** One crash that a suspect was in progress under. */
export interface SuspectCrash {
  readonly crashId: string;
  readonly upstreamId: string;
  readonly ageMillis: number;
}

/** A request that was in progress under crashes. */
export interface CrashSuspect {
  readonly fingerprint: string;
  readonly isQuarantined: boolean;
  readonly crashes: readonly SuspectCrash[];
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
  /** Adds crashes seen here or reported by another node; returns the new ones. */
  add(crashes: readonly CrashFields[]): readonly CrashFields[];
  /** A request was answered: it does not crash the upstreams that run it. */
  clear(fingerprints: readonly string[]): boolean;
  /** One crash, for another node; `undefined` if it is not known. */
  find(crashId: string): CrashFields | undefined;
  /** Summaries of all crashes. */
  summaries(): readonly CrashSummary[];
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

/** Bound on pairs of a crash and a fingerprint, of some hundred bytes each. */
export const MAX_CRASH_FINGERPRINT_PAIRS_COUNT = 8192;

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
  /** Crashes that each fingerprint was in progress under. */
  const sightings = new Map<string, Set<KnownCrash>>();
  /** Those that it was not cleared of. */
  const suspects = new Map<string, Set<KnownCrash>>();
  const quarantined = new Set<string>();
  let sightingsCount = 0;
  let cachedDigest: string | undefined;

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

  /** Adds a sighting, or its clearance, which is never undone. */
  const addSighting = (
    crash: KnownCrash,
    fingerprint: string,
    isCleared: boolean,
  ): void => {
    const wasCleared = crash.isClearedOf.get(fingerprint);
    if (wasCleared === true || wasCleared === isCleared) return;
    if (wasCleared === undefined) {
      sightingsCount += 1;
      addTo(sightings, fingerprint, crash);
    }
    crash.isClearedOf.set(fingerprint, isCleared);
    cachedDigest = undefined;
    if (isCleared) removeFrom(suspects, fingerprint, crash);
    else addTo(suspects, fingerprint, crash);
    settle(fingerprint);
  };

  const remove = (crash: KnownCrash): void => {
    crashes.delete(crash.crashId);
    cachedDigest = undefined;
    sightingsCount -= crash.isClearedOf.size;
    for (const fingerprint of crash.isClearedOf.keys()) {
      removeFrom(sightings, fingerprint, crash);
      removeFrom(suspects, fingerprint, crash);
      settle(fingerprint);
    }
  };

  /**
   * Clearances that are sent to other nodes. Most requests are in progress under one
   * crash only and cleared moments later: their clearances would make up most of the
   * messages and change no decision.
   */
  const sharedClearances = ({isClearedOf}: KnownCrash): ReadonlySet<string> => {
    const shared = new Set<string>();
    for (const [fingerprint, isCleared] of isClearedOf) {
      const count = sightings.get(fingerprint)?.size ?? 0;
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
    return `${String(sightingsCount)}.${textOf(digest)}`;
  };

  const fieldsOf = (crash: KnownCrash): CrashFields => {
    const shared = sharedClearances(crash);
    return {
      crashId: crash.crashId,
      upstreamId: crash.upstreamId,
      ageMillis: Math.round(nowMillis() - crash.atMillis),
      fingerprints: [...crash.isClearedOf.keys()].filter(
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
      isClearedOf: new Map<string, boolean>(),
    };
    crashes.set(crash.crashId, crash);
    cachedDigest = undefined;
    for (const fingerprint of fields.clearedFingerprints) {
      addSighting(crash, fingerprint, true);
    }
    for (const fingerprint of fields.fingerprints) {
      addSighting(crash, fingerprint, false);
    }
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
    while (sightingsCount > MAX_CRASH_FINGERPRINT_PAIRS_COUNT) {
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
          addSighting(crash, fingerprint, true);
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
        digest: textOf(digestOf(crash)),
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

function textOf(digest: number): string {
  return (digest >>> 0).toString(36);
}
