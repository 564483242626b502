/**
 * A caller of the system: sends one request and classifies its response.
 */
import type {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import {hashBody, findResponseProblem} from './response_body.js';
import {REQUEST_PARAMETER} from './execution_record.js';
import type {HttpResponse} from './http_support.js';
import {LOOPBACK_ADDRESS, sendHttpRequest} from './http_support.js';

/** Options of one caller request. */
export interface CallerRequest {
  /** Port of a node's caller listener. */
  readonly port: number;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Unique name of the request, which the response body must contain. */
  readonly name: string;
  readonly body?: Uint8Array | undefined;
  /** Time until the caller aborts the request. */
  readonly timeoutMillis: number;
  readonly agent?: Agent | undefined;
}

/** Outcome that a node reports for a request that failed. */
export type Outcome = 'not-run' | 'unknown';

/** Result of one caller request. */
export interface CallerResult {
  readonly kind:
    /** Success with a complete body that belongs to the request. */
    | 'answered'
    /** Success with a truncated body, or with that of another request. */
    | 'wrong'
    /** Response with an error status. */
    | 'failed'
    /** No response, or one that was aborted. */
    | 'broken';
  readonly statusCode: number;
  readonly outcome: Outcome | undefined;
  readonly reason: string;
  readonly retriesSpentCount: number;
  readonly policyVersion: number;
  readonly retryAfterMillis: number | undefined;
  readonly latencyMillis: number;
  /** Description of the problem; empty if there is none. */
  readonly problem: string;
}

const MILLIS_PER_SECOND = 1000;

/** Sends one request; failures are returned as a result of kind `broken`. */
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
