/**
 * Answers between nodes as payloads of frames.
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
type AnswerList = readonly [
  HopOutcome,
  HopReason,
  number,
  number,
  readonly (readonly [string, number])[],
  readonly LoadList[],
  MessageList | 0,
  ...PositionList,
  // Crashes under the request, where its upstream crashed.
  ...([number] | []),
];

/** Writes an answer with its body or the beginning of it. */
export function encodeHopResponse(answer: HopResponse, start: Buffer): Buffer {
  const {message} = answer;
  const list: AnswerList = [
    answer.outcome,
    answer.reason,
    answer.hasFailedCall ? 1 : 0,
    answer.unspentCount,
    [...answer.calls],
    answer.loads.map(toLoadList),
    message === undefined
      ? 0
      : [
          message.statusCode,
          message.headers,
          message.isUnframed ? 1 : 0,
          message.hasRest ? 1 : 0,
        ],
    ...toPositionList(answer.knownPosition),
    ...listOfCrashes(answer.crashesCount),
  ];
  return joinPayload(list, start);
}

function listOfCrashes(crashesCount: number | undefined): [number] | [] {
  return crashesCount === undefined ? [] : [crashesCount];
}

/** Reads an answer; `undefined` if the payload is none. */
export function decodeHopResponse(
  payload: Buffer,
): WithBody<HopResponse> | undefined {
  const parts = splitPayload(payload);
  if (parts === undefined) return undefined;
  const list = parts.header as Partial<AnswerList>;
  const [outcome, reason, failed, unspentCount] = list;
  if (!isOutcome(outcome) || typeof reason !== 'string') return undefined;
  const message = messageOf(list[6]);
  const knownPosition = parsePosition(list[7], list[8]);
  const crashesCount = list[9];
  if (outcome === 'answered' && message === undefined) return undefined;
  return {
    message: {
      outcome,
      reason,
      hasFailedCall: failed === 1,
      unspentCount: isFiniteNumber(unspentCount) ? unspentCount : 0,
      calls: callsOf(list[4]),
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

function messageOf(value: unknown): ResponseFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const [statusCode, headers, unframed, rest] = list;
  if (!isFiniteNumber(statusCode) || !Array.isArray(headers)) return undefined;
  if (!areStrings(headers)) return undefined;
  return {
    statusCode,
    headers: headers as readonly string[],
    isUnframed: unframed === 1,
    hasRest: rest === 1,
  };
}

function callsOf(value: unknown): ReadonlyMap<string, number> {
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
