/**
 * Emulates an upstream: executes requests in slots, makes downstream calls
 * through the node on its host, and injects faults.
 */
import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import {createResponseBody, hashBody} from './response_body.js';
import type {ExecutionRecord} from './execution_record.js';
import {REQUEST_PARAMETER, createExecutionRecord} from './execution_record.js';
import {
  LOOPBACK_ADDRESS,
  closeServer,
  createControlServer,
  listen,
  readBody,
  trackSockets,
} from './http_support.js';
import {createFaultState} from './fault_state.js';
import {createHeldResponses} from './held_responses.js';
import {createSeededRandom} from './seeded_random.js';
import {createSlotPool} from './slot_pool.js';
import {createUpstreamCalls} from './upstream_calls.js';
import {
  responseHeaders,
  sendPartialBody,
  sendPartialHeaders,
  sendEmptyResponse,
  setAnnouncements,
} from './upstream_responses.js';
import type {
  FaultMode,
  UpstreamConfig,
  UpstreamFault,
  UpstreamRoute,
} from './upstream_config.js';
import {findUpstreamRoute} from './upstream_config.js';

/** Counters since the start of the upstream. */
export interface UpstreamCounts {
  readonly receivedCount: number;
  readonly startedCount: number;
  readonly completedCount: number;
  readonly refusedCount: number;
  readonly cancelledCount: number;
  readonly inProgressCount: number;
  readonly waitingCount: number;
  readonly peakInProgressCount: number;
  readonly openConnectionsCount: number;
  /** Calls whose response body was truncated or belonged to another request. */
  readonly wrongAnswersCount: number;
}

/** A running emulated upstream. */
export interface EmulatedUpstream {
  readonly port: number;
  readonly controlPort: number;
  readonly record: ExecutionRecord;
  /** Replaces the given fields of the fault; others keep their values. */
  setFault(fault: Partial<UpstreamFault>): void;
  /** Releases the responses that are held now. */
  releaseHeldResponses(): void;
  counts(): UpstreamCounts;
  close(): Promise<void>;
}

/** A request that the upstream has received completely. */
interface IncomingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly name: string;
  readonly body: Buffer;
  /** Fires when the client disconnects before the end of the response. */
  readonly signal: AbortSignal;
}

const DEFAULT_QUEUE_COUNT = 10_000;

/** Starts an emulated upstream. */
export async function createEmulatedUpstream(
  config: UpstreamConfig,
): Promise<EmulatedUpstream> {
  const address = config.address ?? LOOPBACK_ADDRESS;
  const record = createExecutionRecord();
  const random = createSeededRandom(config.seed ?? 1);
  const calls = createUpstreamCalls(config);
  const slots = createSlotPool(
    config.slotsCount,
    config.queueCount ?? DEFAULT_QUEUE_COUNT,
  );
  const heldResponses = createHeldResponses();
  const faultState = createFaultState();
  const counts = {
    receivedCount: 0,
    startedCount: 0,
    completedCount: 0,
    refusedCount: 0,
    cancelledCount: 0,
    peakInProgressCount: 0,
  };

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const controller = new AbortController();
    setAnnouncements(response, faultState.current());
    response.once('close', () => {
      if (!response.writableFinished) controller.abort();
    });
    counts.receivedCount += 1;
    const body = await readBody(request);
    const url = new URL(request.url ?? '/', 'http://upstream');
    const incoming: IncomingRequest = {
      request,
      response,
      url,
      name: url.searchParams.get(REQUEST_PARAMETER) ?? '',
      body,
      signal: controller.signal,
    };
    record.recordArrival(incoming.name, url.pathname);
    const route = findUpstreamRoute(
      config.routes,
      request.method ?? '',
      url.pathname,
    );
    if (route === undefined) {
      sendEmptyResponse(response, 404);
      return;
    }
    const faultMode = faultState.consumeMode(url.pathname);
    if (faultMode === 'reset-unrun') {
      request.socket.resetAndDestroy();
      return;
    }
    if (faultMode === 'refuse' || !(await slots.acquire(incoming.signal))) {
      rejectRequest(incoming);
      return;
    }
    try {
      await executeRequest(incoming, route, faultMode);
    } finally {
      slots.release();
    }
  };

  const rejectRequest = (incoming: IncomingRequest): void => {
    counts.refusedCount += 1;
    sendEmptyResponse(incoming.response, 503, {
      [FULMARHOLLOW_HEADERS.notExecuted]: '1',
    });
  };

  const executeRequest = async (
    incoming: IncomingRequest,
    route: UpstreamRoute,
    faultMode: FaultMode,
  ): Promise<void> => {
    counts.startedCount += 1;
    counts.peakInProgressCount = Math.max(
      counts.peakInProgressCount,
      slots.busyCount(),
    );
    const execution = record.start({
      request: incoming.name,
      method: incoming.request.method ?? '',
      path: incoming.url.pathname,
    });
    try {
      if (faultMode === 'silent') await waitForAbort(incoming.signal);
      await simulateServiceTime(route, incoming.signal);
      const result = await calls.run(
        route.callStages ?? [],
        incoming,
        execution,
        faultState.current(),
      );
      execution.isComplete = true;
      counts.completedCount += 1;
      if (faultMode === 'hold') await heldResponses.wait(incoming.signal);
      const statusCode = result.isSuccess ? 200 : 502;
      incoming.response.once('finish', () => {
        execution.isAnswered = true;
      });
      sendResponse(incoming, route, faultMode, statusCode, result.statusCodes);
    } catch (error) {
      if (!incoming.signal.aborted) throw error;
      execution.isCancelled = true;
      counts.cancelledCount += 1;
    } finally {
      execution.endMillis = Date.now();
    }
  };

  const simulateServiceTime = async (
    route: UpstreamRoute,
    signal: AbortSignal,
  ): Promise<void> => {
    const serviceMillis =
      random.logNormal(route.serviceMillis, route.serviceSigma ?? 0) *
      faultState.current().slowFactor;
    if (serviceMillis > 0) await sleep(serviceMillis, undefined, {signal});
  };

  const sendResponse = (
    incoming: IncomingRequest,
    route: UpstreamRoute,
    faultMode: FaultMode,
    statusCode: number,
    callStatusCodes: readonly number[],
  ): void => {
    const {response} = incoming;
    if (faultMode === 'reset') {
      incoming.request.socket.resetAndDestroy();
      return;
    }
    if (faultMode === 'error' || faultMode === 'unavailable') {
      sendEmptyResponse(response, faultMode === 'error' ? 500 : 503);
      return;
    }
    const body = createResponseBody(
      {
        request: incoming.name,
        service: config.service,
        host: config.hostName,
        path: incoming.url.pathname,
        requestDigest: hashBody(incoming.body),
        calls: callStatusCodes,
      },
      route.answerBytes,
    );
    const {cutAt} = faultState.current();
    if (faultMode === 'cut' && cutAt === 'headers') {
      sendPartialHeaders(incoming.request);
      return;
    }
    response.writeHead(statusCode, responseHeaders(route, body));
    if (faultMode === 'cut') sendPartialBody(response, body, cutAt);
    else response.end(body);
  };

  const server = http.createServer((request, response) => {
    handleRequest(request, response).catch(() => {
      response.destroy();
    });
  });
  const sockets = trackSockets(server);
  if (config.connectionsCount !== undefined) {
    server.maxConnections = config.connectionsCount;
  }
  // Longer than the idle timeout of any node, so that idle connections are
  // always closed by the node.
  server.keepAliveTimeout = 600_000;

  const readCounts = (): UpstreamCounts => ({
    ...counts,
    inProgressCount: slots.busyCount(),
    waitingCount: slots.waitingCount(),
    openConnectionsCount: sockets.size,
    wrongAnswersCount: calls.wrongResponsesCount(),
  });

  const control = createControlServer((method, path, body) => {
    const url = new URL(path, 'http://control');
    const operation = `${method} ${url.pathname}`;
    switch (operation) {
      case 'GET /counts':
        return readCounts();
      case 'GET /executions':
        return record.find(Object.fromEntries(url.searchParams));
      case 'GET /arrivals':
        return record.arrivals();
      case 'DELETE /executions':
        record.clear();
        return {};
      case 'GET /fault':
        return faultState.current();
      case 'PUT /fault':
        faultState.set(JSON.parse(body.toString()) as Partial<UpstreamFault>);
        return faultState.current();
      case 'POST /release':
        heldResponses.release();
        return {};
      default:
        return undefined;
    }
  });

  const port = await listen(server, address, config.port);
  const controlPort = await listen(control, address, config.controlPort ?? 0);
  return {
    port,
    controlPort,
    record,
    setFault: faultState.set,
    releaseHeldResponses: heldResponses.release,
    counts: readCounts,
    close: async () => {
      calls.dispose();
      await Promise.all([closeServer(server), closeServer(control)]);
    },
  };
}

/** Rejects when the signal fires; never resolves. */
function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const onAbort = (): void => {
      reject(new Error('client went away'));
    };
    if (signal.aborted) onAbort();
    else signal.addEventListener('abort', onAbort, {once: true});
  });
}
