/**
 * Requests that other nodes send for the upstream of this host.
 */
import {sendAnswer} from '../connection/answer_sender.js';
import type {ExecutionEnd} from '../connection/execution.js';
import {answerQuestion} from '../connection/hop_questions.js';
import type {Exchange} from '../connection/node_listener.js';
import {passedOnHeaders} from '../connection/raw_headers.js';
import {readRequestBody} from '../connection/request_body.js';
import type {HopRegistry} from '../process/hop_registry.js';
import type {CallOrigin} from '../process/in_flight_parents.js';
import {LEAST_IMPORTANT} from '../process/importance.js';
import {createRetryGrant} from '../process/shared_retry_grant.js';
import type {LoadReport} from '../process/load_board.js';
import type {HopReason, OutcomeFields} from '../protocol/hop_headers.js';
import {
  decodeOrigin,
  encodeCalls,
  encodeLoads,
  encodeOutcome,
  HOP_HEADER,
} from '../protocol/hop_headers.js';
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {LocalCall, LocalExecution} from './local_execution.js';

/** Answers requests of other nodes. */
export interface InboundExchanges {
  handle(exchange: Exchange): Promise<void>;
}

/** What it needs. */
export interface InboundOptions {
  readonly names: WireHeaders;
  readonly execution: LocalExecution;
  readonly hops: HopRegistry;
  /** Loads to report: that of the own upstream first. */
  readonly loads: () => readonly LoadReport[];
  readonly bodyBytes: () => number;
  readonly nowMillis: () => number;
  readonly onEnd: (call: LocalCall, end: ExecutionEnd) => void;
}

/** Creates the receiving side of one node. */
export function createInboundExchanges(
  options: InboundOptions,
): InboundExchanges {
  const ownHeaders: ReadonlySet<string> = new Set([
    options.names.timeoutMillis,
    options.names.expectedUpstreamId,
    options.names.callerService,
    ...(options.names.isAttemptIdRequired ? [] : [options.names.attemptId]),
  ]);
  return {
    handle: async exchange => {
      if (answerQuestion(exchange, options.hops)) return;
      const call = readCall(options, exchange, ownHeaders);
      if (call === undefined) {
        exchange.response.writeHead(400);
        exchange.response.end();
        return;
      }
      const hopId = exchange.request.headers[HOP_HEADER.hopId];
      const end = await executeOnce(options, call, String(hopId));
      options.onEnd(call, end);
      const unspentCount = call.origin.grant.close();
      writeEnd(options, exchange, {end, unspentCount}, call.method);
    },
  };
}

/** A hop that its sender has given up as not run must not run any more. */
async function executeOnce(
  options: InboundOptions,
  call: LocalCall,
  hopId: string,
): Promise<ExecutionEnd> {
  const {hops} = options;
  if (!hops.begin(hopId)) {
    return {kind: 'refused', reason: 'silent', retryAfterMillis: 0};
  }
  const end = await options.execution.execute(call);
  hops.end(hopId);
  return end;
}

function readCall(
  options: InboundOptions,
  exchange: Exchange,
  ownHeaders: ReadonlySet<string>,
): LocalCall | undefined {
  const {names, nowMillis} = options;
  const {request} = exchange;
  const text = (name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === 'string' ? value : undefined;
  };
  const now = nowMillis();
  const attemptId = text(names.attemptId);
  const upstreamId = text(names.expectedUpstreamId);
  const origin = readOrigin(text(HOP_HEADER.origin), now);
  const leftMillis = Number(text(names.timeoutMillis));
  const startWithinMillis = Number(text(HOP_HEADER.startWithin));
  if (attemptId === undefined || upstreamId === undefined) return undefined;
  if (origin === undefined || !Number.isFinite(leftMillis)) return undefined;
  return {
    attemptId,
    upstreamId,
    origin,
    callerService: text(names.callerService) ?? '',
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    headers: passedOnHeaders(request.rawHeaders, ownHeaders),
    isRepeatable: !exchange.isBodyHeldBack,
    deadlineMillis: now + leftMillis,
    startByMillis: now + startWithinMillis,
    fetchBody: () => fetchBody(options, exchange),
    cancel: exchange.cancel,
  };
}

function readOrigin(
  text: string | undefined,
  now: number,
): CallOrigin | undefined {
  const fields = text === undefined ? undefined : decodeOrigin(text);
  if (fields === undefined) return undefined;
  const importance = Math.floor(fields.importance);
  return {
    importance: Math.min(LEAST_IMPORTANT, Math.max(0, importance)),
    rootId: fields.rootId,
    rootRouteName: fields.rootRouteName,
    rootBeganAtMillis: now - fields.rootAgeMillis,
    isRepeat: fields.isRepeat,
    grant: createRetryGrant(fields.repeatsCount),
  };
}

/** A body that was held back is asked for now: from here on it may run. */
async function fetchBody(
  options: InboundOptions,
  exchange: Exchange,
): Promise<Buffer | undefined> {
  if (exchange.isBodyHeldBack) exchange.response.writeContinue();
  const read = await readRequestBody(exchange.request, options.bodyBytes());
  return read.kind === 'whole' ? read.bytes : undefined;
}

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;

const NO_HEADERS: ReadonlySet<string> = new Set();

/** What is told to the node that sent the request. */
interface InboundEnd {
  readonly end: ExecutionEnd;
  /** Repeats that came with the request and were not spent. */
  readonly unspentCount: number;
}

function writeEnd(
  options: InboundOptions,
  exchange: Exchange,
  {end, unspentCount}: InboundEnd,
  method: string,
): void {
  const {response} = exchange;
  const fields = {...outcomeOf(end), unspentCount};
  const headers = [HOP_HEADER.outcome, encodeOutcome(fields)];
  const now = options.nowMillis();
  const loads = options.loads().map(report => ({
    ...report,
    ageMillis: now - report.madeAtMillis,
  }));
  headers.push(HOP_HEADER.loads, encodeLoads(loads));
  if (end.kind === 'answered') {
    if (end.calls.size > 0) {
      headers.push(HOP_HEADER.calls, encodeCalls(end.calls));
    }
    const passed = passedOnHeaders(end.answer.headers, NO_HEADERS);
    sendAnswer(response, end.answer, [...passed, ...headers], {
      method,
      isForNode: true,
    });
    return;
  }
  if (response.destroyed) return;
  const isRefused = end.kind === 'refused';
  const statusCode = isRefused ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY;
  response.writeHead(statusCode, [...headers, 'content-length', '0']);
  response.end();
}

type OutcomeOfEnd = Omit<OutcomeFields, 'unspentCount'>;

function outcomeOf(end: ExecutionEnd): OutcomeOfEnd {
  switch (end.kind) {
    case 'answered':
      return fieldsOf('answered', 'none', end.hasFailedCall, 0);
    case 'refused':
      return fieldsOf('refused', end.reason, false, end.retryAfterMillis);
    case 'unknown':
      return fieldsOf('unknown', end.reason, end.hasFailedCall, 0);
  }
}

function fieldsOf(
  outcome: OutcomeFields['outcome'],
  reason: HopReason,
  hasFailedCall: boolean,
  retryAfterMillis: number,
): OutcomeOfEnd {
  return {outcome, reason, hasFailedCall, retryAfterMillis};
}
