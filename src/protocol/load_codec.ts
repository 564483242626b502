/**
 * Loads of upstreams as they go with messages between nodes.
 */
import type {LoadFields, RejectionFields} from './hop_messages.js';
import {isFiniteNumber} from './message_payload.js';

/** Question for loads. */
export const LOADS_QUERY = Buffer.from([1]);

type RejectionList = readonly [number, number];

/** Lists instead of objects: names would double the bytes between zones. */
export type LoadList = readonly [
  string,
  string,
  number,
  number,
  number,
  number,
  number,
  number,
  number,
  // Only of upstreams that reject: this goes with each answer.
  ...(RejectionList | []),
];
/** Tenths of a millisecond, or of one per second, are enough of a mean. */
const MEAN_STEPS = 10;

const SLOWNESS_STEPS = 100;

function roundMean(mean: number): number {
  return Math.round(mean * MEAN_STEPS) / MEAN_STEPS;
}

/** A load as it goes into a message. */
export function toLoadList(load: LoadFields): LoadList {
  return [
    load.upstreamId,
    load.service,
    load.inFlightCount,
    load.queuedCount,
    load.limitCount,
    roundMean(load.averageMillis),
    load.level,
    Math.round(load.ageMillis),
    roundSlowness(load.slownessRatio),
    ...listOfRejections(load.rejections),
  ];
}

/** Hundredths are enough; 0 stands for what is not known. */
function roundSlowness(ratio: number | undefined): number {
  return Math.round((ratio ?? 0) * SLOWNESS_STEPS) / SLOWNESS_STEPS;
}

function listOfRejections(
  rejections: RejectionFields | undefined,
): RejectionList | [] {
  if (rejections === undefined) return [];
  return [
    roundMean(rejections.rejectedPerSecond),
    roundMean(rejections.arrivedPerSecond),
  ];
}

/** Reads loads, leaving out what is none. */
export function parseLoads(value: unknown): readonly LoadFields[] {
  if (!Array.isArray(value)) return [];
  const loads: LoadFields[] = [];
  for (const item of value as readonly unknown[]) {
    const load = loadOf(item);
    if (load !== undefined) loads.push(load);
  }
  return loads;
}

function loadOf(value: unknown): LoadFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [upstreamId, service, ...figures] = value as readonly unknown[];
  if (typeof upstreamId !== 'string' || typeof service !== 'string') {
    return undefined;
  }
  const [inFlight, queued, limit, average, level, age, slowness, ...rest] =
    figures;
  const rejections = rejectionsOf(rest);
  if (!isFiniteNumber(inFlight) || !isFiniteNumber(queued)) return undefined;
  if (!isFiniteNumber(limit) || !isFiniteNumber(average)) return undefined;
  if (!isFiniteNumber(level) || !isFiniteNumber(age)) return undefined;
  return {
    upstreamId,
    service,
    inFlightCount: inFlight,
    queuedCount: queued,
    limitCount: limit,
    averageMillis: average,
    level,
    ageMillis: age,
    ...(isFiniteNumber(slowness) && slowness > 0
      ? {slownessRatio: slowness}
      : {}),
    ...(rejections === undefined ? {} : {rejections}),
  };
}

function rejectionsOf(
  figures: readonly unknown[],
): RejectionFields | undefined {
  const [rejected, arrived] = figures;
  if (!isFiniteNumber(rejected) || !isFiniteNumber(arrived)) return undefined;
  return {
    rejectedPerSecond: rejected,
    arrivedPerSecond: arrived,
  };
}

/** Writes the answer to a question about loads. */
export function encodeLoads(loads: readonly LoadFields[]): Buffer {
  return Buffer.from(JSON.stringify(loads.map(toLoadList)));
}

/** Reads it, leaving out what is none; a node without any sends nothing. */
export function decodeLoads(payload: Buffer): readonly LoadFields[] {
  if (payload.length === 0) return [];
  try {
    return parseLoads(JSON.parse(payload.toString()));
  } catch {
    return [];
  }
}
