/**
 * Encodes and decodes requests between nodes as frame payloads.
 */
import type {BodyForm, HopRequest, OriginFields} from './hop_messages.js';
import type {WithBody} from './message_payload.js';
import type {PositionList} from './position_codec.js';
import {toPositionList, parsePosition} from './position_codec.js';
import {
  areStrings,
  isFiniteNumber,
  joinPayload,
  splitPayload,
} from './message_payload.js';

/**
 * Arrays instead of objects: property names would double the bytes between
 * zones.
 */
type OriginList = readonly [
  number,
  string,
  string,
  number,
  number,
  number,
  // Present only if clients use API keys.
  ...([string] | []),
];
type RequestList = readonly [
  string,
  string,
  string,
  string,
  string,
  string,
  readonly string[],
  number,
  BodyForm,
  number,
  number,
  OriginList,
  number,
  ...PositionList,
];

/** Encodes a request; `body` is empty unless it is sent inline. */
export function encodeHopRequest(request: HopRequest, body: Buffer): Buffer {
  const {origin} = request;
  const list: RequestList = [
    request.hopId,
    request.attemptId,
    request.upstreamId,
    request.callerService,
    request.method,
    request.target,
    request.headers,
    request.isRepeatable ? 1 : 0,
    request.bodyForm,
    Math.floor(request.leftMillis),
    Math.round(request.startWithinMillis),
    [
      origin.importance,
      origin.rootId,
      origin.rootRouteName,
      Math.round(origin.rootAgeMillis),
      origin.isRepeat ? 1 : 0,
      origin.repeatsCount,
      ...toNameList(origin.organisationName),
    ],
    Math.round(request.usualMillis ?? 0),
    ...toPositionList(request.knownPosition),
  ];
  return joinPayload(list, body);
}

/** Decodes a request; returns `undefined` if the payload is invalid. */
export function decodeHopRequest(
  payload: Buffer,
): WithBody<HopRequest> | undefined {
  const parts = splitPayload(payload);
  if (parts === undefined) return undefined;
  const list = parts.header as Partial<RequestList>;
  const {0: hopId, 1: attemptId, 2: upstreamId, 3: callerService} = list;
  const {4: method, 5: target} = list;
  const headers = list[6];
  const leftMillis = list[9];
  const startWithinMillis = list[10];
  const origin = parseOrigin(list[11]);
  const usualMillis = list[12];
  const knownPosition = parsePosition(list[13], list[14]);
  if (!areStrings([hopId, attemptId, upstreamId, callerService])) {
    return undefined;
  }
  if (!areStrings([method, target]) || !Array.isArray(headers)) {
    return undefined;
  }
  if (!isFiniteNumber(leftMillis) || !isFiniteNumber(startWithinMillis)) {
    return undefined;
  }
  if (origin === undefined || !areStrings(headers)) return undefined;
  return {
    message: {
      hopId: hopId ?? '',
      attemptId: attemptId ?? '',
      upstreamId: upstreamId ?? '',
      callerService: callerService ?? '',
      method: method ?? '',
      target: target ?? '',
      headers: headers as readonly string[],
      isRepeatable: list[7] === 1,
      bodyForm: list[8] ?? 'inline',
      leftMillis,
      startWithinMillis,
      origin,
      ...(isFiniteNumber(usualMillis) && usualMillis > 0 ? {usualMillis} : {}),
      ...(knownPosition === undefined ? {} : {knownPosition}),
    },
    body: parts.body,
  };
}

function parseOrigin(value: unknown): OriginFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const {0: importance, 1: rootId, 2: rootRouteName, 3: rootAgeMillis} = list;
  const {4: repeatFlag, 5: repeatsCount, 6: organisationName} = list;
  if (typeof rootId !== 'string') return undefined;
  if (typeof rootRouteName !== 'string') return undefined;
  if (!isFiniteNumber(importance) || !isFiniteNumber(rootAgeMillis)) {
    return undefined;
  }
  return {
    importance,
    rootId,
    rootRouteName,
    rootAgeMillis,
    isRepeat: repeatFlag === 1,
    repeatsCount: isFiniteNumber(repeatsCount) ? repeatsCount : 0,
    ...(typeof organisationName === 'string' ? {organisationName} : {}),
  };
}

function toNameList(name: string | undefined): [string] | [] {
  return name === undefined ? [] : [name];
}
