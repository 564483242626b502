/**
 * Tracks how old this node's knowledge of the published documents is, and when
 * it has to call the source itself.
 *
 * Load pattern: one node watches the source, and all others receive its changes
 * through other nodes. A watch that receives nothing looks like a source
 * without changes: if the watching node silently loses the source, all others
 * use an older version until its call times out. Therefore each node tracks the
 * time up to which it knows all changes, whatever way they came, and each
 * response to another node reports that time. A node whose knowledge is too old
 * calls the source, whatever the reason.
 */

/** How this node receives changes. */
export type FreshnessRole =
  /** It watches the source, and others poll it. */
  | 'watching'
  /** It polls a node of another zone, and its own zone polls it. */
  | 'relaying'
  /** It polls a node of its zone. */
  | 'polling';

/** Age of the knowledge of one node. */
export interface DocumentFreshness {
  readonly role: FreshnessRole;
  /**
   * Time up to which all changes are known; `-Infinity` before the first read.
   */
  readonly knownUntilMillis: number;
  /** `Infinity` before the first read. */
  readonly ageMillis: number;
  /** Time until this node has to call the source itself; at least 0. */
  readonly renewInMillis: number;
  /** Records that all changes up to a time are known. */
  record(knownUntilMillis: number): void;
  setRole(role: FreshnessRole): void;
}

export interface DocumentFreshnessOptions {
  /**
   * Maximum time from a change's acknowledgement to its effect on this node.
   */
  readonly applyWithinMillis: number;
  readonly nowMillis: () => number;
}

/**
 * Part of the bound reserved for a call to the source: for a response of a
 * store a hundred times slower than its usual 4 ms, and for a timer that fires
 * late because the process has used up its CPU quota of a period of a tenth of
 * a second.
 */
export const CALL_RESERVE_MILLIS = 450;

/**
 * Part of the bound reserved for each of the two relays between the watching
 * node and another one, so that a node that relays replaces a lost one before
 * the nodes behind it all call the source.
 */
const RELAY_STEP_RESERVE_MILLIS = 300;

/** Relays between the watching node and this one. */
const RELAY_STEPS_COUNT: Readonly<Record<FreshnessRole, number>> = {
  watching: 0,
  relaying: 1,
  polling: 2,
};

/** Part of the bound that the watching node leaves to the nodes behind it. */
export const RELAY_RESERVE_MILLIS =
  RELAY_STEPS_COUNT.polling * RELAY_STEP_RESERVE_MILLIS;

/** Creates the freshness of a node that has not read any documents. */
export function createDocumentFreshness({
  applyWithinMillis,
  nowMillis,
}: DocumentFreshnessOptions): DocumentFreshness {
  const watchingLimitMillis =
    applyWithinMillis - CALL_RESERVE_MILLIS - RELAY_RESERVE_MILLIS;
  let knownUntilMillis = -Infinity;
  let role: FreshnessRole = 'watching';
  let limitMillis = watchingLimitMillis;
  return {
    get role() {
      return role;
    },
    get knownUntilMillis() {
      return knownUntilMillis;
    },
    get ageMillis() {
      return nowMillis() - knownUntilMillis;
    },
    get renewInMillis() {
      return Math.max(0, knownUntilMillis + limitMillis - nowMillis());
    },
    record: millis => {
      knownUntilMillis = Math.max(knownUntilMillis, millis);
    },
    setRole: next => {
      role = next;
      limitMillis =
        watchingLimitMillis +
        RELAY_STEPS_COUNT[role] * RELAY_STEP_RESERVE_MILLIS;
    },
  };
}
