/**
 * A caller of the system: sends one request and judges what came back.
 */
import type {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import {hashBody, findResponseProblem} from './response_body.js';
import {REQUEST_PARAMETER} from './execution_record.js';
import type {HttpResponse} from './http_support.js';
import {LOOPBACK_ADDRESS, sendHttpRequest} from './http_support.js';

/** One request as a caller makes it. */
export interface CallerRequest {
  /** Caller listener of a node. */
  readonly port: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** The caller's own name for the request, which the answer must repeat. */
  readonly name: string;
  readonly body?: Uint8Array | undefined;
  /** How long the caller waits. */
  readonly timeoutMillis: number;
  readonly agent?: Agent | undefined;
}

/** What a node tells of a request that it did not answer. */
export type Outcome = 'not-run' | 'unknown';

/** What came back. */
export interface CallerResult {
  readonly kind:
    /** Whole and its own. */
    | 'answered'
    /** A success that is a fragment or belongs to another request. */
    | 'wrong'
    /** A failure told in an answer. */
    | 'failed'
    /** No answer, or one that broke off. */
    | 'broken';
  readonly statusCode: number;
  readonly outcome: Outcome | undefined;
  readonly reason: string;
  readonly retriesSpentCount: number;
  readonly policyVersion: number;
  readonly retryAfterMillis: number | undefined;
  readonly latencyMillis: number;
  /** What is wrong; empty when nothing is. */
  readonly problem: string;
}

const MILLIS_PER_SECOND = 1000;

/** Sends one request; never rejects. */
export async function sendCallerRequest(
  request: CallerRequest,
): Promise<CallerResult> {
  const startMillis = performance.now();
  const query = `${REQUEST_PARAMETER}=${encodeURIComponent(request.name)}`;
  try {
    const response = await sendHttpRequest({
      address: LOOPBACK_ADDRESS,
      port: request.port,
      method: request.method,
      path: `${request.path}?${query}`,
      headers: createHeaders(request),
      body: request.body,
      agent: request.agent,
      signal: AbortSignal.timeout(request.timeoutMillis),
    });
    return createCallerResult(
      request,
      response,
      performance.now() - startMillis,
    );
  } catch (error) {
    return {
      kind: 'broken',
      statusCode: 0,
      outcome: undefined,
      reason: '',
      retriesSpentCount: 0,
      policyVersion: 0,
      retryAfterMillis: undefined,
      latencyMillis: performance.now() - startMillis,
      problem: (error as Error).message,
    };
  }
}

function createHeaders(request: CallerRequest): Record<string, string> {
  return {
    host: request.service,
    [FULMARHOLLOW_HEADERS.timeoutMillis]: String(request.timeoutMillis),
  };
}

function createCallerResult(
  request: CallerRequest,
  response: HttpResponse,
  latencyMillis: number,
): CallerResult {
  const header = (name: string): string =>
    (response.headers[name] as string | undefined) ?? '';
  const isSuccess = response.statusCode === 200;
  const problem = isSuccess
    ? findResponseProblem(response.body, {
        request: request.name,
        path: request.path,
        requestDigest: hashBody(request.body),
      })
    : undefined;
  const retryAfter = header('retry-after');
  return {
    kind: !isSuccess ? 'failed' : problem === undefined ? 'answered' : 'wrong',
    statusCode: response.statusCode,
    outcome: (header(FULMARHOLLOW_HEADERS.notes.outcome) || undefined) as
      Outcome | undefined,
    reason: header(FULMARHOLLOW_HEADERS.notes.reason),
    retriesSpentCount: Number(
      header(FULMARHOLLOW_HEADERS.notes.repeatsCount) || '0',
    ),
    policyVersion: Number(
      header(FULMARHOLLOW_HEADERS.notes.configurationVersion) || '0',
    ),
    retryAfterMillis:
      retryAfter === '' ? undefined : Number(retryAfter) * MILLIS_PER_SECOND,
    latencyMillis,
    problem: problem ?? '',
  };
}
