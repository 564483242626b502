/**
 * Downstream calls that an upstream makes for a request in progress, through
 * the local listener of the node on its host.
 */
import * as http from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {Disposable} from '../base/lifecycle.js';
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import {hashBody, findResponseProblem} from './response_body.js';
import type {Execution} from './execution_record.js';
import {REQUEST_PARAMETER, callTargetKey} from './execution_record.js';
import type {HttpResponse} from './http_support.js';
import {LOOPBACK_ADDRESS, sendHttpRequest} from './http_support.js';
import type {
  ContextMode,
  PlannedCall,
  UpstreamConfig,
  UpstreamFault,
} from './upstream_config.js';

/** The request for which calls are made. */
export interface CallOrigin {
  readonly request: IncomingMessage;
  /** Name that the client gave the request. */
  readonly name: string;
  /** Aborts the calls when the client disconnects. */
  readonly signal: AbortSignal;
}

/** Results of all calls of one request. */
export interface CallsResult {
  /** False if a call that is not optional failed. */
  readonly isSuccess: boolean;
  /** Status code of each call; 0 if there was no valid response. */
  readonly statusCodes: readonly number[];
}

/** Makes the downstream calls of an upstream. */
export interface UpstreamCalls extends Disposable {
  /**
   * Runs the stages in order and stops after the first with a failed call that
   * is not optional; rejects if the origin's signal fires.
   */
  run(
    stages: readonly (readonly PlannedCall[])[],
    origin: CallOrigin,
    execution: Execution,
    fault: UpstreamFault,
  ): Promise<CallsResult>;
  wrongResponsesCount(): number;
}

/** Creates the caller of downstream calls for an upstream. */
export function createUpstreamCalls(config: UpstreamConfig): UpstreamCalls {
  const agent = new http.Agent({keepAlive: true});
  let wrongResponsesCount = 0;
  let previousId: string | undefined;
  let callsCount = 0;

  /** Returns the id from which call ids are derived, according to the mode. */
  const chooseParentId = (
    origin: CallOrigin,
    mode: ContextMode,
  ): string | undefined => {
    const ownId = origin.request.headers[FULMARHOLLOW_HEADERS.attemptId] as
      string | undefined;
    const earlierId = previousId;
    previousId = ownId;
    if (mode === 'drop') return undefined;
    return mode === 'previous' ? (earlierId ?? ownId) : ownId;
  };

  /** Returns a unique id for a call, prefixed with the id of its request. */
  const nextId = (parentId: string | undefined): string | undefined => {
    callsCount += 1;
    return parentId === undefined
      ? undefined
      : `${parentId}.${callsCount.toString(36)}`;
  };

  const sendOnce = async (
    call: PlannedCall,
    origin: CallOrigin,
    parentId: string | undefined,
  ): Promise<number> => {
    const body =
      call.bodyBytes === undefined
        ? undefined
        : Buffer.alloc(call.bodyBytes, `${origin.name};`);
    const query = `${REQUEST_PARAMETER}=${encodeURIComponent(origin.name)}`;
    let response: HttpResponse;
    try {
      response = await sendHttpRequest({
        address: config.localAddress ?? LOOPBACK_ADDRESS,
        port: config.localPort,
        method: call.method,
        path: `${call.path}?${query}`,
        headers: callHeaders(call, nextId(parentId)),
        body,
        agent,
        signal: origin.signal,
      });
    } catch {
      return 0;
    }
    if (response.statusCode !== 200) return response.statusCode;
    const problem = findResponseProblem(response.body, {
      request: origin.name,
      path: call.path,
      requestDigest: hashBody(body),
    });
    if (problem === undefined) return response.statusCode;
    wrongResponsesCount += 1;
    return 0;
  };

  return {
    run: async (stages, origin, execution, fault) => {
      const statusCodes: number[] = [];
      if (stages.length === 0) return {isSuccess: true, statusCodes};
      const parentId = chooseParentId(origin, fault.contextMode);
      const sendWithRetries = async (call: PlannedCall): Promise<number> => {
        let statusCode = 0;
        for (let i = 0; i <= fault.callRepeatsCount; i += 1) {
          const target = callTargetKey(call.service, call.path);
          execution.calls[target] = (execution.calls[target] ?? 0) + 1;
          statusCode = await sendOnce(call, origin, parentId);
          if (statusCode === 200) break;
        }
        return statusCode;
      };
      for (const stage of stages) {
        const results = await Promise.all(stage.map(sendWithRetries));
        // No further calls are made for a client that has disconnected.
        origin.signal.throwIfAborted();
        statusCodes.push(...results);
        const isSuccess = stage.every(
          (call, i) => call.isOptional === true || results[i] === 200,
        );
        if (!isSuccess) return {isSuccess, statusCodes};
      }
      return {isSuccess: true, statusCodes};
    },
    wrongResponsesCount: () => wrongResponsesCount,
    dispose: () => {
      agent.destroy();
    },
  };
}

function callHeaders(
  call: PlannedCall,
  id: string | undefined,
): http.OutgoingHttpHeaders {
  const headers: http.OutgoingHttpHeaders = {host: call.service};
  if (id !== undefined) headers[FULMARHOLLOW_HEADERS.attemptId] = id;
  return headers;
}
