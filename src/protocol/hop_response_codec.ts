/**
 * Encodes and decodes responses between nodes as frame payloads.
 */
import type {
  ResponseFields,
  HopResponse,
  HopOutcome,
  HopReason,
} from './hop_messages.js';
import type {LoadList} from './load_codec.js';
import {toLoadList, parseLoads} from './load_codec.js';
import type {WithBody} from './message_payload.js';
import type {PositionList} from './position_codec.js';
import {toPositionList, parsePosition} from './position_codec.js';
import {
  areStrings,
  isFiniteNumber,
  joinPayload,
  splitPayload,
} from './message_payload.js';

type MessageList = readonly [number, readonly string[], number, number];
type ResponseList = readonly [
  HopOutcome,
  HopReason,
  number,
  number,
  readonly (readonly [string, number])[],
  readonly LoadList[],
  MessageList | 0,
  ...PositionList,
  // Number of crashes while the request ran; present if its upstream crashed.
  ...([number] | []),
];

/** Encodes a response with its body or the beginning of its body. */
export function encodeHopResponse(
  response: HopResponse,
  bodyStart: Buffer,
): Buffer {
  const {message} = response;
  const list: ResponseList = [
    response.outcome,
    response.reason,
    response.hasFailedCall ? 1 : 0,
    response.unspentCount,
    [...response.calls],
    response.loads.map(toLoadList),
    message === undefined
      ? 0
      : [
          message.statusCode,
          message.headers,
          message.isUnframed ? 1 : 0,
          message.hasRest ? 1 : 0,
        ],
    ...toPositionList(response.knownPosition),
    ...toCrashesCountList(response.crashesCount),
  ];
  return joinPayload(list, bodyStart);
}

function toCrashesCountList(crashesCount: number | undefined): [number] | [] {
  return crashesCount === undefined ? [] : [crashesCount];
}

/** Decodes a response; returns `undefined` if the payload is invalid. */
export function decodeHopResponse(
  payload: Buffer,
): WithBody<HopResponse> | undefined {
  const parts = splitPayload(payload);
  if (parts === undefined) return undefined;
  const list = parts.header as Partial<ResponseList>;
  const {0: outcome, 1: reason, 2: failedCallFlag, 3: unspentCount} = list;
  if (!isOutcome(outcome) || typeof reason !== 'string') return undefined;
  const message = parseResponseFields(list[6]);
  const knownPosition = parsePosition(list[7], list[8]);
  const crashesCount = list[9];
  if (outcome === 'answered' && message === undefined) return undefined;
  return {
    message: {
      outcome,
      reason,
      hasFailedCall: failedCallFlag === 1,
      unspentCount: isFiniteNumber(unspentCount) ? unspentCount : 0,
      calls: parseCalls(list[4]),
      loads: parseLoads(list[5]),
      ...(knownPosition === undefined ? {} : {knownPosition}),
      ...(isFiniteNumber(crashesCount) && crashesCount > 0
        ? {crashesCount}
        : {}),
      message,
    },
    body: parts.body,
  };
}

function parseResponseFields(value: unknown): ResponseFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const {0: statusCode, 1: headers, 2: unframedFlag, 3: restFlag} = list;
  if (!isFiniteNumber(statusCode) || !Array.isArray(headers)) return undefined;
  if (!areStrings(headers)) return undefined;
  return {
    statusCode,
    headers: headers as readonly string[],
    isUnframed: unframedFlag === 1,
    hasRest: restFlag === 1,
  };
}

function parseCalls(value: unknown): ReadonlyMap<string, number> {
  const calls = new Map<string, number>();
  if (!Array.isArray(value)) return calls;
  for (const item of value as readonly unknown[]) {
    if (!Array.isArray(item)) continue;
    const [service, count] = item as readonly unknown[];
    if (typeof service === 'string' && isFiniteNumber(count)) {
      calls.set(service, count);
    }
  }
  return calls;
}

function isOutcome(value: unknown): value is HopOutcome {
  return value === 'answered' || value === 'refused' || value === 'unknown';
}
