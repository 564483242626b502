/**
 * Upstreams of the response soak: responses of all framings and sizes, part of which break off
 * or are followed by a second one. Each is recorded by its signature.
 */
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FakeUpstream, ReceivedRequest} from './fake_upstream.js';
import type {ProcessFleet} from './process_fleet.js';

/** A response as its upstream meant it. */
export interface SentResponse {
  readonly attemptId: string;
  readonly statusCode: number;
  /** The whole body, as Latin-1. */
  readonly body: string;
  /** Sent after the upstream had rejected the request, so that it belongs to no dispatch. */
  readonly isLate: boolean;
  /** Broken off by a close of the connection, which also marks the end of the body. */
  isCutByClose: boolean;
}

type Framing = 'length' | 'chunks' | 'none';

const MAX_WORK_MILLIS = 60;
const MAX_LATE_MILLIS = 20;

const REJECTED_RATIO = 0.04;
const FAILED_RATIO = 0.03;
const SLOW_WRITE_RATIO = 0.3;

const SIZES = [
  {untilRatio: 0.6, minBytes: 1, maxBytes: 9000},
  {untilRatio: 0.8, minBytes: 55_000, maxBytes: 75_000},
  {untilRatio: 1, minBytes: 100_000, maxBytes: 400_000},
] as const;

const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'none'];

/** Cumulative ratios of the ends other than that of a whole response. */
const ENDS = [
  {untilRatio: 0.05, end: 'reset'},
  {untilRatio: 0.08, end: 'reset later'},
  {untilRatio: 0.11, end: 'close'},
  {untilRatio: 0.15, end: 'copy'},
  {untilRatio: 0.19, end: 'copy later'},
] as const;

type End = (typeof ENDS)[number]['end'] | 'whole';

const MAX_CHUNK_BYTES = 20_000;

/** Installs handlers that record each response by its signature. */
export function recordResponses(
  {hosts}: ProcessFleet,
  random: () => number,
): ReadonlyMap<string, SentResponse> {
  const responses = new Map<string, SentResponse>();
  for (const {upstream} of hosts) {
    upstream.setHandler(request => {
      const {socket} = request;
      if (socket.listenerCount('error') < 2) socket.on('error', ignoreError);
      setTimeout(() => {
        void respond({request, upstream, random, responses});
      }, random() * MAX_WORK_MILLIS);
    });
  }
  return responses;
}

function ignoreError(): void {
  // The connection closes, which ends the response.
}

interface Responding {
  readonly request: ReceivedRequest;
  readonly upstream: FakeUpstream;
  readonly random: () => number;
  readonly responses: Map<string, SentResponse>;
}

async function respond(responding: Responding): Promise<void> {
  const {request, random} = responding;
  const choice = random();
  if (choice < REJECTED_RATIO) {
    write(request.socket, Buffer.from(rejectionText(request)));
    await sleep(random() * MAX_LATE_MILLIS);
    const late = record(responding, 'length', {isLate: true});
    writeBetweenResponses(request.socket, late.bytes);
    return;
  }
  const framing = FRAMINGS[Math.floor(random() * FRAMINGS.length)]!;
  const isFailed = choice < REJECTED_RATIO + FAILED_RATIO;
  const statusCode = isFailed ? 500 : 200;
  await send(responding, framing, record(responding, framing, {statusCode}));
}

/** Written to the socket like all responses, since those of a server object wait in line. */
function rejectionText({attemptId}: ReceivedRequest): string {
  return (
    'HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n' +
    `attempt-id: ${attemptId}\r\ncontent-length: 0\r\n\r\n`
  );
}

interface RecordedResponse {
  readonly sent: SentResponse;
  readonly bytes: Buffer;
  readonly headBytes: number;
}

function record(
  {request, upstream, random, responses}: Responding,
  framing: Framing,
  {statusCode = 200, isLate = false},
): RecordedResponse {
  const {attemptId} = request;
  const signature = `${upstream.id}.${attemptId}.${String(responses.size)}`;
  const body = createBody(signature, sizeOf(random));
  const sent = {attemptId, statusCode, body, isLate, isCutByClose: false};
  responses.set(signature, sent);
  const head = [
    `HTTP/1.1 ${String(statusCode)} Any`,
    `attempt-id: ${attemptId}`,
    `response-signature: ${signature}`,
    ...framingLines(framing, body),
  ].join('\r\n');
  const text = framing === 'chunks' ? toChunks(body, random) : body;
  return {
    sent,
    bytes: Buffer.from(`${head}\r\n\r\n${text}`, 'latin1'),
    headBytes: head.length + '\r\n\r\n'.length,
  };
}

function framingLines(framing: Framing, body: string): readonly string[] {
  switch (framing) {
    case 'length':
      return [`content-length: ${String(body.length)}`];
    case 'chunks':
      return ['transfer-encoding: chunked'];
    case 'none':
      return ['connection: close'];
  }
}

function sizeOf(random: () => number): number {
  const choice = random();
  const {minBytes, maxBytes} = SIZES.find(
    ({untilRatio}) => choice < untilRatio,
  )!;
  return minBytes + Math.floor(random() * (maxBytes - minBytes));
}

/** Every part of the body names its response. */
function createBody(signature: string, bytes: number): string {
  return Buffer.alloc(bytes, `${signature};`).toString('latin1');
}

function toChunks(body: string, random: () => number): string {
  let chunks = '';
  for (let start = 0; start < body.length;) {
    const bytes = 1 + Math.floor(random() * MAX_CHUNK_BYTES);
    const part = body.slice(start, start + bytes);
    chunks += `${part.length.toString(16)}\r\n${part}\r\n`;
    start += bytes;
  }
  return `${chunks}0\r\n\r\n`;
}

async function send(
  {request, random}: Responding,
  framing: Framing,
  {sent, bytes, headBytes}: RecordedResponse,
): Promise<void> {
  const {socket} = request;
  const choice = random();
  const end: End =
    ENDS.find(({untilRatio}) => choice < untilRatio)?.end ?? 'whole';
  const isCut = end === 'reset' || end === 'reset later' || end === 'close';
  const bodyBytes = bytes.length - headBytes;
  const sentBytes = isCut
    ? headBytes + Math.floor(random() * bodyBytes)
    : bytes.length;
  if (framing === 'none') {
    // Until all of it is written, a restart of the upstream cuts it by a close.
    sent.isCutByClose = true;
    socket.once('finish', () => {
      sent.isCutByClose = end === 'close';
    });
  }
  socketsWithinResponse.add(socket);
  if (random() < SLOW_WRITE_RATIO) {
    const firstBytes = Math.floor(random() * sentBytes);
    write(socket, bytes.subarray(0, firstBytes));
    await sleep(random() * MAX_LATE_MILLIS);
    write(socket, bytes.subarray(firstBytes, sentBytes));
  } else {
    write(socket, bytes.subarray(0, sentBytes));
  }
  if (!isCut) socketsWithinResponse.delete(socket);
  if (end === 'reset later' || end === 'copy later') {
    await sleep(random() * MAX_LATE_MILLIS);
  }
  if (end === 'reset' || end === 'reset later') {
    if (!socket.destroyed) sent.isCutByClose = false;
    socket.resetAndDestroy();
  } else if (end === 'close' || framing === 'none') socket.end();
  else if (end !== 'whole') writeBetweenResponses(socket, bytes);
}

/** Connections on which part of a response has been written. */
const socketsWithinResponse = new WeakSet<Socket>();

/** Writes a second response where the next one is due, not within one. */
function writeBetweenResponses(socket: Socket, bytes: Buffer): void {
  if (!socketsWithinResponse.has(socket)) write(socket, bytes);
}

function write(socket: Socket, bytes: Buffer): void {
  if (socket.writable) socket.write(bytes);
}
