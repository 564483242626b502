/**
 * Upstreams that send no length and reset the connection within the body, right behind what
 * they have written or later.
 */
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ConnectionEnd} from '../../src/connection/connection_end.js';
import {onConnectionEnd} from '../../src/connection/connection_end.js';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import type {PipelinedRequest} from '../fakes/pipelining_client.js';
import {formatRequest} from '../fakes/pipelining_client.js';
import {startFleet} from '../fakes/test_fleet.js';

const BODY_BYTES = [1, 1500, 9000, 60_000, 100_000, 300_000, 1_000_000];
const DELAYS_MILLIS = [0, 1, 5, 50];

/** Part of the body that is written before the reset. */
const WRITTEN_RATIO = 0.8;

/** Time for which a slow client reads nothing. */
const READ_PAUSE_MILLIS = 60;

const LAST_CHUNK = '\r\n0\r\n\r\n';

const ENTRIES = [
  {title: 'at the node of the upstream', services: ['orders']},
  {title: 'at another node', services: ['shop', 'orders']},
] as const;

const CLIENTS = [
  {title: 'a read alone', precedingCount: 0, pauseMillis: 0},
  {title: 'a slow reader', precedingCount: 0, pauseMillis: READ_PAUSE_MILLIS},
  {title: 'a read behind another', precedingCount: 1, pauseMillis: 0},
] as const;

interface Cut {
  readonly bodyBytes: number;
  readonly delayMillis: number;
}

/** A response, and how the connection ended after it. */
interface Received {
  readonly text: string;
  readonly end: ConnectionEnd | 'error' | 'open';
}

async function respondAndReset(
  {attemptId, socket}: ReceivedRequest,
  upstreamId: string,
  {bodyBytes, delayMillis}: Cut,
): Promise<void> {
  const head = [
    'HTTP/1.1 200 OK',
    `attempt-id: ${attemptId}`,
    `response-signature: ${signatureOf(upstreamId, attemptId)}`,
    'connection: close',
  ].join('\r\n');
  const body = 'x'.repeat(Math.floor(bodyBytes * WRITTEN_RATIO));
  socket.write(`${head}\r\n\r\n${body}`);
  if (delayMillis > 0) await sleep(delayMillis);
  socket.resetAndDestroy();
}

/** Sends requests on a connection of their own, and receives the response to the last. */
async function receiveLast(
  address: string,
  port: number,
  requests: readonly PipelinedRequest[],
  pauseMillis: number,
): Promise<Received> {
  const socket = net.connect(port, address);
  let text = '';
  let end: Received['end'] = 'open';
  const lastText = (): string =>
    text.split(/(?=HTTP\/1\.1 )/)[requests.length - 1] ?? '';
  const isComplete = (): boolean =>
    lastText().endsWith(LAST_CHUNK) || /^HTTP\/1\.1 [45]/.test(lastText());
  socket.on('data', chunk => (text += chunk.toString('latin1')));
  socket.on('error', () => (end = 'error'));
  onConnectionEnd(socket, connectionEnd => (end = connectionEnd));
  await once(socket, 'connect');
  socket.write(requests.map(formatRequest).join(''));
  if (pauseMillis > 0) {
    socket.pause();
    await sleep(pauseMillis);
    socket.resume();
  }
  while (!socket.closed && !isComplete()) await sleep(2);
  socket.destroy();
  return {text: lastText(), end};
}

/** Whether a response is a success that ends as a complete one does. */
function looksComplete({text, end}: Received): boolean {
  if (!text.startsWith('HTTP/1.1 200')) return false;
  if (/transfer-encoding: chunked/i.test(text)) {
    return text.endsWith(LAST_CHUNK);
  }
  return end === 'closed';
}

for (const {title: entryTitle, services} of ENTRIES) {
  for (const {title: clientTitle, precedingCount, pauseMillis} of CLIENTS) {
    test(`a response without a length that is reset does not look complete: ${entryTitle}, ${clientTitle}`, async t => {
      // Guards against part of a body that is presented as all of it.
      const fleet = await startFleet(t, {services, paths: [SAFE_PATH]});
      const [entry] = fleet.hosts;
      const {upstream} = fleet.hosts.at(-1)!;
      const complete: string[] = [];
      let sentCount = 0;
      const arrivedIds = new Set<string>();
      for (const bodyBytes of BODY_BYTES) {
        for (const delayMillis of DELAYS_MILLIS) {
          sentCount += 1;
          const attemptId = `r${String(sentCount)}`;
          upstream.setHandler(request => {
            if (request.attemptId !== attemptId) {
              setTimeout(() => {
                request.respond(200, 'served');
              }, READ_PAUSE_MILLIS);
              return;
            }
            arrivedIds.add(attemptId);
            const cut = {bodyBytes, delayMillis};
            void respondAndReset(request, upstream.id, cut);
          });
          const preceding = Array.from({length: precedingCount}, () => ({
            attemptId: `p${String(sentCount)}`,
            method: 'GET',
            path: '/a/1',
          }));
          const received = await receiveLast(
            entry!.address,
            fleet.outboundPort,
            [...preceding, {attemptId, method: 'GET', path: '/a/2'}],
            pauseMillis,
          );
          if (!looksComplete(received)) continue;
          complete.push(
            `${String(bodyBytes)} bytes, reset after ${String(delayMillis)} ms`,
          );
        }
      }
      t.deepEqual(complete, []);
      t.is(arrivedIds.size, sentCount);
    });
  }
}
