/**
 * Encodes and decodes upstream loads in messages between nodes.
 */
import type {LoadFields, RejectionFields} from './hop_messages.js';
import {isFiniteNumber} from './message_payload.js';

/** Query for loads. */
export const LOADS_QUERY = Buffer.from([1]);

type RejectionList = readonly [number, number];

/**
 * Arrays instead of objects: property names would double the bytes between
 * zones.
 */
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
  // Only for upstreams that reject requests, because every response carries it.
  ...(RejectionList | []),
];
/** Means are rounded to tenths of a millisecond or of a request per second. */
const MEAN_STEPS = 10;

const SLOWNESS_STEPS = 100;

function roundMean(mean: number): number {
  return Math.round(mean * MEAN_STEPS) / MEAN_STEPS;
}

/** Converts a load to its encoded form. */
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
    ...toRejectionList(load.rejections),
  ];
}

/** Rounds to hundredths; 0 means unknown. */
function roundSlowness(ratio: number | undefined): number {
  return Math.round((ratio ?? 0) * SLOWNESS_STEPS) / SLOWNESS_STEPS;
}

function toRejectionList(
  rejections: RejectionFields | undefined,
): RejectionList | [] {
  if (rejections === undefined) return [];
  return [
    roundMean(rejections.rejectedPerSecond),
    roundMean(rejections.arrivedPerSecond),
  ];
}

/** Parses loads and skips invalid entries. */
export function parseLoads(value: unknown): readonly LoadFields[] {
  if (!Array.isArray(value)) return [];
  const loads: LoadFields[] = [];
  for (const item of value as readonly unknown[]) {
    const load = parseLoad(item);
    if (load !== undefined) loads.push(load);
  }
  return loads;
}

function parseLoad(value: unknown): LoadFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const {0: upstreamId, 1: service, 2: inFlight, 3: queued, 4: limit} = list;
  const {5: average, 6: level, 7: age, 8: slowness} = list;
  if (typeof upstreamId !== 'string' || typeof service !== 'string') {
    return undefined;
  }
  const rejections = parseRejections(list[9], list[10]);
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

function parseRejections(
  rejected: unknown,
  arrived: unknown,
): RejectionFields | undefined {
  if (!isFiniteNumber(rejected) || !isFiniteNumber(arrived)) return undefined;
  return {
    rejectedPerSecond: rejected,
    arrivedPerSecond: arrived,
  };
}

/** Encodes the response to a load query. */
export function encodeLoads(loads: readonly LoadFields[]): Buffer {
  return Buffer.from(JSON.stringify(loads.map(toLoadList)));
}

/**
 * Decodes the response and skips invalid loads; empty if the node reports none.
 */
export function decodeLoads(payload: Buffer): readonly LoadFields[] {
  if (payload.length === 0) return [];
  try {
    return parseLoads(JSON.parse(payload.toString()));
  } catch {
    return [];
  }
}
