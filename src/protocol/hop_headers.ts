/**
 * Headers between two nodes, and the compact texts they hold.
 */

/** Header names of the hop between two nodes; never sent to anybody else. */
export const HOP_HEADER = {
  /** Identity of this hop, for questions about it. */
  hopId: 'fh-hop',
  /** Ids of hops that a node asks about, and the states in reply. */
  question: 'fh-question',
  reply: 'fh-reply',
  /** What the calls of the request inherit. */
  origin: 'fh-origin',
  /** Latest useful start, in milliseconds from the arrival. */
  startWithin: 'fh-start-within',
  /** How the attempt ended at the node beside the upstream. */
  outcome: 'fh-outcome',
  /** The upstream told no length of the body. */
  unframed: 'fh-unframed',
  /** Loads of upstreams. */
  loads: 'fh-loads',
  /** Calls made below. */
  calls: 'fh-calls',
} as const;

/** Beginning of every header of the hop. */
export const HOP_HEADER_PREFIX = 'fh-';

/** What the calls of a request inherit, as sent. */
export interface OriginFields {
  readonly importance: number;
  readonly rootId: string;
  readonly rootRouteName: string;
  /** Age of the root's attempt. */
  readonly rootAgeMillis: number;
  readonly isRepeat: boolean;
  /** Repeats that go with the request. */
  readonly repeatsCount: number;
}

/** How an attempt ended at the node beside the upstream. */
export type HopOutcome =
  /** The answer is the upstream's. */
  | 'answered'
  /** Not run, and it will not be. */
  | 'refused'
  /** It may have run. */
  | 'unknown';

/** Why an attempt was refused or its outcome is not known. */
export type HopReason =
  | 'none'
  | 'draining'
  | 'other-upstream'
  | 'queue-full'
  | 'too-late'
  | 'unreachable'
  | 'not-executed'
  | 'broken-answer'
  | 'connection-lost'
  | 'silent'
  | 'timeout'
  | 'cancelled';

/** Outcome with its reason. */
export interface OutcomeFields {
  readonly outcome: HopOutcome;
  readonly reason: HopReason;
  /** A call that was made for the request failed. */
  readonly hasFailedCall: boolean;
  /** Milliseconds after which there may be room. */
  readonly retryAfterMillis: number;
  /** Repeats that went with the request and were not spent. */
  readonly unspentCount: number;
}

/** Load of one upstream, as sent. */
export interface LoadFields {
  readonly upstreamId: string;
  readonly service: string;
  readonly inFlightCount: number;
  readonly queuedCount: number;
  readonly limitCount: number;
  readonly averageMillis: number;
  readonly level: number;
  readonly ageMillis: number;
}

const FIELD = ';';
const ITEM = ',';

/** Writes an origin. */
export function encodeOrigin(origin: OriginFields): string {
  return [
    origin.importance,
    encodeURIComponent(origin.rootId),
    encodeURIComponent(origin.rootRouteName),
    Math.round(origin.rootAgeMillis),
    origin.isRepeat ? 1 : 0,
    origin.repeatsCount,
  ].join(FIELD);
}

/** Reads an origin; `undefined` if the text is none. */
export function decodeOrigin(text: string): OriginFields | undefined {
  const [importance, rootId, rootRouteName, age, repeat, repeats] =
    text.split(FIELD);
  if (rootId === undefined || rootRouteName === undefined) return undefined;
  return {
    importance: numberOf(importance),
    rootId: decodeURIComponent(rootId),
    rootRouteName: decodeURIComponent(rootRouteName),
    rootAgeMillis: numberOf(age),
    isRepeat: repeat === '1',
    repeatsCount: numberOf(repeats),
  };
}

/** Writes an outcome. */
export function encodeOutcome(fields: OutcomeFields): string {
  return [
    fields.outcome,
    fields.reason,
    fields.hasFailedCall ? 1 : 0,
    Math.round(fields.retryAfterMillis),
    fields.unspentCount,
  ].join(FIELD);
}

/** Reads an outcome; `undefined` if the text is none. */
export function decodeOutcome(text: string): OutcomeFields | undefined {
  const [outcome, reason, failed, retryAfter, unspent] = text.split(FIELD);
  if (!isOutcome(outcome)) return undefined;
  return {
    outcome,
    reason: (reason ?? 'none') as HopReason,
    hasFailedCall: failed === '1',
    retryAfterMillis: numberOf(retryAfter),
    unspentCount: numberOf(unspent),
  };
}

function isOutcome(text: string | undefined): text is HopOutcome {
  return text === 'answered' || text === 'refused' || text === 'unknown';
}

/** Writes loads. */
export function encodeLoads(loads: readonly LoadFields[]): string {
  return loads.map(encodeLoad).join(ITEM);
}

function encodeLoad(load: LoadFields): string {
  return [
    encodeURIComponent(load.upstreamId),
    encodeURIComponent(load.service),
    load.inFlightCount,
    load.queuedCount,
    load.limitCount,
    load.averageMillis.toFixed(1),
    load.level,
    Math.round(load.ageMillis),
  ].join(FIELD);
}

/** Reads loads, leaving out what is none. */
export function decodeLoads(text: string): readonly LoadFields[] {
  const loads: LoadFields[] = [];
  for (const item of text.split(ITEM)) {
    const parts = item.split(FIELD);
    const [upstreamId, service] = parts;
    if (upstreamId === undefined || service === undefined) continue;
    loads.push({
      upstreamId: decodeURIComponent(upstreamId),
      service: decodeURIComponent(service),
      inFlightCount: numberOf(parts[2]),
      queuedCount: numberOf(parts[3]),
      limitCount: numberOf(parts[4]),
      averageMillis: numberOf(parts[5]),
      level: numberOf(parts[6]),
      ageMillis: numberOf(parts[7]),
    });
  }
  return loads;
}

/** Writes counts of calls by service. */
export function encodeCalls(counts: ReadonlyMap<string, number>): string {
  return [...counts]
    .map(([service, count]) => `${encodeURIComponent(service)}=${count}`)
    .join(ITEM);
}

/** Reads counts of calls by service. */
export function decodeCalls(text: string): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of text.split(ITEM)) {
    const [service, count] = item.split('=');
    if (service === undefined || service === '') continue;
    counts.set(decodeURIComponent(service), numberOf(count));
  }
  return counts;
}

function numberOf(text: string | undefined): number {
  const value = Number(text);
  return Number.isFinite(value) ? value : 0;
}
