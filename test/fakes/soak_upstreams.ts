/**
 * Upstreams of the order soak: each run of an order is counted by its id, and part of the
 * responses are faulty.
 */
import type {ReceivedRequest} from './fake_upstream.js';
import {signatureOf} from './fake_upstream.js';
import type {ProcessFleet} from './process_fleet.js';

const MAX_WORK_MILLIS = 80;
const LONG_BODY_BYTES = 200_000;

/** Cumulative ratios of the responses of upstreams other than complete ones. */
const FAULTY_RESPONSES = [
  {untilRatio: 0.03, respond: respondWithoutLength},
  {untilRatio: 0.05, respond: breakOffLongBody},
  {untilRatio: 0.07, respond: resetWithinLongBody},
  {untilRatio: 0.09, respond: resetConnection},
] as const;

const REJECTED_UNTIL_RATIO = 0.12;

/** Full upstreams: requests that one runs at once, and rejections beyond these. */
const SLOTS_COUNT = 3;
const REJECTED_RATIO = 0.4;

/** Ratio of the responses of a full upstream that it sends again, and of those without id. */
const COPIED_RATIO = 0.5;
const COPIED_WITHOUT_ID_RATIO = 0.3;
const MAX_COPY_DELAY_MILLIS = 50;

/** Installs handlers at the upstreams that count each run by its id. */
export function countRuns(
  {hosts}: ProcessFleet,
  random: () => number,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {upstream} of hosts) {
    upstream.setHandler(request => {
      const choice = random();
      const isRejected =
        choice >= FAULTY_RESPONSES.at(-1)!.untilRatio &&
        choice < REJECTED_UNTIL_RATIO;
      if (isRejected) {
        request.reject();
        return;
      }
      const {attemptId} = request;
      counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1);
      const faulty = FAULTY_RESPONSES.find(
        ({untilRatio}) => choice < untilRatio,
      );
      setTimeout(() => {
        if (faulty === undefined) request.respond(200, 'served');
        else faulty.respond(request, upstream.id);
      }, random() * MAX_WORK_MILLIS);
    });
  }
  return counts;
}

/**
 * Installs handlers like `countRuns` at upstreams that reject what exceeds their slots, and
 * send responses again where the response to the next request is due.
 */
export function countRunsOfFullUpstreams(
  {hosts}: ProcessFleet,
  random: () => number,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {upstream} of hosts) {
    let runningCount = 0;
    upstream.setHandler(request => {
      const {attemptId} = request;
      const isRejected =
        runningCount >= SLOTS_COUNT || random() < REJECTED_RATIO;
      if (isRejected) {
        request.reject();
        sendCopy(request, random, rejectionLines());
        return;
      }
      counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1);
      runningCount += 1;
      setTimeout(() => {
        runningCount -= 1;
        request.respond(200, 'served');
        sendCopy(request, random, servedLines(upstream.id, attemptId));
      }, random() * MAX_WORK_MILLIS);
    });
  }
  return counts;
}

function rejectionLines(): readonly string[] {
  return ['HTTP/1.1 503 Service Unavailable', 'not-executed: 1'];
}

function servedLines(id: string, attemptId: string): readonly string[] {
  return [
    'HTTP/1.1 200 OK',
    `response-signature: ${signatureOf(id, attemptId)}`,
  ];
}

/** Sends part of the responses a second time, with the id of the request or without one. */
function sendCopy(
  {socket, attemptId}: ReceivedRequest,
  random: () => number,
  lines: readonly string[],
): void {
  if (random() >= COPIED_RATIO) return;
  const hasId = random() >= COPIED_WITHOUT_ID_RATIO;
  const idLines = hasId ? [`attempt-id: ${attemptId}`] : [];
  const head = [...lines, ...idLines, 'content-length: 0'].join('\r\n');
  setTimeout(() => {
    if (socket.writable) socket.write(`${head}\r\n\r\n`);
  }, random() * MAX_COPY_DELAY_MILLIS);
}

function headOf({attemptId}: ReceivedRequest, id: string): string {
  return (
    `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
    `response-signature: ${signatureOf(id, attemptId)}\r\n`
  );
}

function respondWithoutLength(request: ReceivedRequest, id: string): void {
  request.socket.end(`${headOf(request, id)}\r\nserved`);
}

function breakOffLongBody(request: ReceivedRequest, id: string): void {
  const length = `content-length: ${String(LONG_BODY_BYTES)}\r\n`;
  request.socket.end(
    `${headOf(request, id)}${length}\r\n${'x'.repeat(LONG_BODY_BYTES / 2)}`,
  );
}

function resetWithinLongBody(request: ReceivedRequest, id: string): void {
  const {socket} = request;
  socket.write(`${headOf(request, id)}\r\n${'x'.repeat(LONG_BODY_BYTES / 2)}`);
  setTimeout(() => {
    socket.resetAndDestroy();
  }, MAX_WORK_MILLIS);
}

function resetConnection({socket}: ReceivedRequest): void {
  socket.resetAndDestroy();
}
