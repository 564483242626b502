/**
 * Messages between two nodes about one request, as the payloads of frames: a
 * header in JSON and the bytes of a body.
 */

/** A request for the upstream beside the receiving node. */
export interface HopRequest {
  /** Identity of this hop, unique among nodes for as long as it is remembered. */
  readonly hopId: string;
  readonly attemptId: string;
  /** The upstream that was chosen; any other one refuses. */
  readonly upstreamId: string;
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly isRepeatable: boolean;
  readonly bodyForm: BodyForm;
  /** Time until the deadline. */
  readonly leftMillis: number;
  /** Time until the latest useful start. */
  readonly startWithinMillis: number;
  readonly origin: OriginFields;
}

/** Where the body of a request is. */
export type BodyForm =
  /** In the same frame. */
  | 'inline'
  /** In frames that follow at once. */
  | 'follows'
  /** At the sender until the receiver asks for it. */
  | 'held-back';

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

/** What came of a request. */
export interface HopAnswer {
  readonly outcome: HopOutcome;
  readonly reason: HopReason;
  /** A call that was made for the request failed. */
  readonly hasFailedCall: boolean;
  /** Repeats that went with the request and were not spent. */
  readonly unspentCount: number;
  /** Calls made below, by service. */
  readonly calls: ReadonlyMap<string, number>;
  readonly loads: readonly LoadFields[];
  /** The upstream's answer; `undefined` unless the outcome is `answered`. */
  readonly message: AnswerFields | undefined;
}

/** An upstream's answer without its body. */
export interface AnswerFields {
  readonly statusCode: number;
  /** Names and values in turn, as received. */
  readonly headers: readonly string[];
  /** The upstream told no length of the body. */
  readonly isUnframed: boolean;
  /** More of the body follows in frames of its own. */
  readonly hasRest: boolean;
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

/** What a node knows of a hop that its sender asks for. */
export type ClaimState =
  /** It has not arrived, and would be refused now. */
  | 'unknown'
  /** It is in progress, and goes on here. */
  | 'working'
  /** It was answered, and the answer follows. */
  | 'finished'
  /** It was answered, and the answer is not kept any more. */
  | 'gone';

const LENGTH_BYTES = 4;

/** Lists instead of objects: names would double the bytes between zones. */
type OriginList = readonly [number, string, string, number, number, number];
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
];
type LoadList = readonly [
  string,
  string,
  number,
  number,
  number,
  number,
  number,
  number,
];
type MessageList = readonly [number, readonly string[], number, number];
type AnswerList = readonly [
  HopOutcome,
  HopReason,
  number,
  number,
  readonly (readonly [string, number])[],
  readonly LoadList[],
  MessageList | 0,
];

/** Writes a request; the body is empty unless it goes along. */
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
    ],
  ];
  return join(list, body);
}

/** A message with the body that came with it. */
export interface WithBody<T> {
  readonly message: T;
  readonly body: Buffer;
}

/** Reads a request; `undefined` if the payload is none. */
export function decodeHopRequest(
  payload: Buffer,
): WithBody<HopRequest> | undefined {
  const parts = split(payload);
  if (parts === undefined) return undefined;
  const list = parts.header as Partial<RequestList>;
  const [hopId, attemptId, upstreamId, callerService, method, target] = list;
  const headers = list[6];
  const leftMillis = list[9];
  const startWithinMillis = list[10];
  const origin = originOf(list[11]);
  if (!areTexts([hopId, attemptId, upstreamId, callerService])) {
    return undefined;
  }
  if (!areTexts([method, target]) || !Array.isArray(headers)) return undefined;
  if (!isNumber(leftMillis) || !isNumber(startWithinMillis)) return undefined;
  if (origin === undefined || !areTexts(headers)) return undefined;
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
    },
    body: parts.body,
  };
}

function originOf(value: unknown): OriginFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const [importance, rootId, rootRouteName, rootAgeMillis, repeat, repeats] =
    list;
  if (typeof rootId !== 'string') return undefined;
  if (typeof rootRouteName !== 'string') return undefined;
  if (!isNumber(importance) || !isNumber(rootAgeMillis)) return undefined;
  return {
    importance,
    rootId,
    rootRouteName,
    rootAgeMillis,
    isRepeat: repeat === 1,
    repeatsCount: isNumber(repeats) ? repeats : 0,
  };
}

/** Writes an answer with its body or the beginning of it. */
export function encodeHopAnswer(answer: HopAnswer, start: Buffer): Buffer {
  const {message} = answer;
  const list: AnswerList = [
    answer.outcome,
    answer.reason,
    answer.hasFailedCall ? 1 : 0,
    answer.unspentCount,
    [...answer.calls],
    answer.loads.map(listOfLoad),
    message === undefined
      ? 0
      : [
          message.statusCode,
          message.headers,
          message.isUnframed ? 1 : 0,
          message.hasRest ? 1 : 0,
        ],
  ];
  return join(list, start);
}

/** Reads an answer; `undefined` if the payload is none. */
export function decodeHopAnswer(
  payload: Buffer,
): WithBody<HopAnswer> | undefined {
  const parts = split(payload);
  if (parts === undefined) return undefined;
  const list = parts.header as Partial<AnswerList>;
  const [outcome, reason, failed, unspentCount] = list;
  if (!isOutcome(outcome) || typeof reason !== 'string') return undefined;
  const message = messageOf(list[6]);
  if (outcome === 'answered' && message === undefined) return undefined;
  return {
    message: {
      outcome,
      reason,
      hasFailedCall: failed === 1,
      unspentCount: isNumber(unspentCount) ? unspentCount : 0,
      calls: callsOf(list[4]),
      loads: loadsOf(list[5]),
      message,
    },
    body: parts.body,
  };
}

function messageOf(value: unknown): AnswerFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const list = value as readonly unknown[];
  const [statusCode, headers, unframed, rest] = list;
  if (!isNumber(statusCode) || !Array.isArray(headers)) return undefined;
  if (!areTexts(headers)) return undefined;
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
    if (typeof service === 'string' && isNumber(count)) {
      calls.set(service, count);
    }
  }
  return calls;
}

/** Tenths of a millisecond are enough of a mean. */
const MEAN_STEPS = 10;

function listOfLoad(load: LoadFields): LoadList {
  return [
    load.upstreamId,
    load.service,
    load.inFlightCount,
    load.queuedCount,
    load.limitCount,
    Math.round(load.averageMillis * MEAN_STEPS) / MEAN_STEPS,
    load.level,
    Math.round(load.ageMillis),
  ];
}

/** Reads loads, leaving out what is none. */
function loadsOf(value: unknown): readonly LoadFields[] {
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
  const [inFlight, queued, limit, average, level, age] = figures;
  if (!isNumber(inFlight) || !isNumber(queued)) return undefined;
  if (!isNumber(limit) || !isNumber(average)) return undefined;
  if (!isNumber(level) || !isNumber(age)) return undefined;
  return {
    upstreamId,
    service,
    inFlightCount: inFlight,
    queuedCount: queued,
    limitCount: limit,
    averageMillis: average,
    level,
    ageMillis: age,
  };
}

function join(header: unknown, body: Buffer): Buffer {
  const text = JSON.stringify(header);
  const headerBytes = Buffer.byteLength(text);
  const payload = Buffer.allocUnsafe(LENGTH_BYTES + headerBytes + body.length);
  payload.writeUInt32BE(headerBytes, 0);
  payload.write(text, LENGTH_BYTES);
  body.copy(payload, LENGTH_BYTES + headerBytes);
  return payload;
}

interface PayloadParts {
  readonly header: readonly unknown[];
  readonly body: Buffer;
}

function split(payload: Buffer): PayloadParts | undefined {
  if (payload.length < LENGTH_BYTES) return undefined;
  const end = LENGTH_BYTES + payload.readUInt32BE(0);
  if (end > payload.length) return undefined;
  const header = parse(payload.toString('utf8', LENGTH_BYTES, end));
  if (!Array.isArray(header)) return undefined;
  return {header: header as readonly unknown[], body: payload.subarray(end)};
}

/** A header that is not JSON is none; its connection is closed for it. */
function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function isOutcome(value: unknown): value is HopOutcome {
  return value === 'answered' || value === 'refused' || value === 'unknown';
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

function areTexts(values: readonly unknown[]): boolean {
  return values.every(value => typeof value === 'string');
}
