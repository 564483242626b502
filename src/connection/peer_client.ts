/**
 * Sends calls to the nodes of other hosts.
 */
import * as Effect from 'effect/Effect';
import type {Disposable} from '../base/lifecycle.js';
import {describeError} from '../base/errors.js';
import {encodeCallContext} from '../protocol/call_context.js';
import type {CallResult} from '../protocol/call_result.js';
import {decodeCallResult} from '../protocol/call_result.js';
import {HEADER} from '../protocol/headers.js';
import type {Outcome} from '../protocol/outcome.js';
import type {PublishedHost} from '../version/host_list.js';
import {decodeFailureMessage} from '../protocol/failure_body.js';
import type {AnswerBody} from './answer_body.js';
import {digestOf} from './answer_body.js';
import type {CallAnswer, CallFailure, CallRequest} from './call_messages.js';
import type {HeaderField} from './header_fields.js';
import {endToEndFields} from './header_fields.js';
import type {ConnectionPool} from './http_agents.js';
import {createConnectionPool} from './http_agents.js';
import type {HttpAnswer, SendFailure} from './http_send.js';
import {reasonOfSendFailure, sendHttp} from './http_send.js';

/** Bounds of one call. */
export interface PeerCallBounds {
  readonly bufferedBytes: number;
  /** Longest silence; the callee reports progress several times within it. */
  readonly silenceMillis: number;
}

/** The way to other nodes. */
export abstract class PeerClient implements Disposable {
  /** Calls a host; interruption cancels the call at the callee. */
  abstract call(
    host: PublishedHost,
    request: CallRequest,
    bounds: PeerCallBounds,
  ): Effect.Effect<CallAnswer, CallFailure>;
  abstract dispose(): void;
}

/** Options of the HTTP peer client. */
export interface HttpPeerClientOptions {
  readonly socketsPerPeerCount: number;
  readonly idleMillis: number;
  readonly localAddress?: string | undefined;
}

const CONNECT_MILLIS = 500;

/** Creates a peer client over HTTP/1.1 keep-alive connections. */
export function createHttpPeerClient(
  options: HttpPeerClientOptions,
): PeerClient {
  const pool = createConnectionPool({
    socketsCount: options.socketsPerPeerCount,
    idleMillis: options.idleMillis,
    localAddress: options.localAddress,
  });
  return new (class extends PeerClient {
    override call(
      host: PublishedHost,
      request: CallRequest,
      bounds: PeerCallBounds,
    ): Effect.Effect<CallAnswer, CallFailure> {
      return sendCall(pool, host, request, bounds);
    }
    override dispose(): void {
      pool.dispose();
    }
  })();
}

function sendCall(
  pool: ConnectionPool,
  host: PublishedHost,
  request: CallRequest,
  bounds: PeerCallBounds,
): Effect.Effect<CallAnswer, CallFailure> {
  const sent = sendHttp({
    agent: pool.agent(request.context.isRepeatBanned),
    address: host.address,
    port: host.peerPort,
    method: request.method,
    path: request.path,
    headers: callHeaders(request),
    body: request.body,
    bufferedBytes: bounds.bufferedBytes,
    connectMillis: CONNECT_MILLIS,
    silenceMillis: bounds.silenceMillis,
    peer: host.name,
  });
  return sent.pipe(
    Effect.mapError(failure => {
      if (failure.kind === 'silent') {
        pool.closeIdle(host.address, host.peerPort);
      }
      return failureOfSend(host.name, failure);
    }),
    Effect.flatMap(answer => interpretAnswer(host.name, answer)),
  );
}

function callHeaders(request: CallRequest): readonly HeaderField[] {
  const own: HeaderField[] = [
    {name: 'Host', value: request.context.service},
    {name: HEADER.call, value: encodeCallContext(request.context)},
  ];
  if (request.key !== undefined) {
    own.push({name: HEADER.idempotencyKey, value: request.key});
  }
  return [...own, ...request.headers];
}

function failureOfSend(hostName: string, sent: SendFailure): CallFailure {
  const outcome: Outcome = sent.mayHaveArrived ? 'unknown' : 'not-run';
  return {
    _tag: 'CallFailure',
    failure: {
      outcome,
      reason: reasonOfSendFailure(sent.kind),
      step: `peer-${sent.kind}`,
      peer: hostName,
      message: sent.error.message,
    },
    // Without an answer nobody knows what was spent on a request that arrived.
    unspent: sent.mayHaveArrived ? 'unknown' : 'all',
    load: undefined,
    isSilent: sent.kind === 'silent',
  };
}

/** Separates an upstream's answer from a refusal by its node. */
function interpretAnswer(
  hostName: string,
  answer: HttpAnswer,
): Effect.Effect<CallAnswer, CallFailure> {
  const result = readResult(answer);
  if (typeof result === 'string') {
    return Effect.fail(protocolFailure(hostName, result));
  }
  if (result.failure !== undefined) {
    return Effect.fail(reportedFailure(hostName, result, answer));
  }
  if (!isBodyIntact(answer, result)) {
    return Effect.fail(damagedFailure(hostName, result));
  }
  return Effect.succeed({
    statusCode: answer.statusCode,
    headers: endToEndFields(answer.rawHeaders),
    body: answer.body,
    unspentCount: result.unspentCount,
    load: result.load,
    isDependencyFailed: result.isDependencyFailed,
    isDependencyRefused: result.isDependencyRefused,
  });
}

function readResult(answer: HttpAnswer): CallResult | string {
  const encoded = answer.headers[HEADER.result];
  if (typeof encoded !== 'string') return 'answer without a call result';
  try {
    return decodeCallResult(encoded);
  } catch (error) {
    return describeError(error);
  }
}

function isBodyIntact(answer: HttpAnswer, result: CallResult): boolean {
  if (answer.body.kind === 'streamed') return true;
  if (result.bodyDigest === undefined) return true;
  return digestOf(answer.body.bytes) === result.bodyDigest;
}

function protocolFailure(hostName: string, cause: string): CallFailure {
  return {
    _tag: 'CallFailure',
    failure: {
      outcome: 'unknown',
      reason: 'protocol-mismatch',
      step: 'peer-answer',
      peer: hostName,
      message: `Host ${hostName} does not speak the call protocol: ${cause}.`,
    },
    unspent: 'unknown',
    load: undefined,
    isSilent: false,
  };
}

function damagedFailure(hostName: string, result: CallResult): CallFailure {
  return {
    _tag: 'CallFailure',
    failure: {
      outcome: 'ran',
      reason: 'answer-incomplete',
      step: 'peer-digest',
      peer: hostName,
      message: `The answer of host ${hostName} does not match its digest.`,
    },
    unspent: result.unspentCount,
    load: result.load,
    isSilent: false,
  };
}

function reportedFailure(
  hostName: string,
  result: CallResult,
  answer: HttpAnswer,
): CallFailure {
  const reported = result.failure;
  return {
    _tag: 'CallFailure',
    failure: {
      outcome: result.outcome,
      reason: reported?.reason ?? 'internal-error',
      step: reported?.step ?? 'peer-answer',
      peer: reported?.peer ?? hostName,
      retryAfterMillis: reported?.retryAfterMillis,
      message: readFailureMessage(answer.body),
    },
    unspent: result.unspentCount,
    load: result.load,
    isSilent: false,
  };
}

function readFailureMessage(body: AnswerBody): string {
  return body.kind === 'whole' ? decodeFailureMessage(body.bytes) : '';
}
