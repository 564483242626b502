/**
 * Upstreams that close within the head of a response, at each of its bytes.
 */
import test from 'ava';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {ORDER_PATH, orderRequest, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** Requests that are open at once. */
const PARALLEL_COUNT = 8;

/** A busy test process refuses some requests before they are dispatched. */
const MIN_ARRIVED_RATIO = 0.9;

const REFUSAL_STATUS_CODES: ReadonlySet<number> = new Set([429, 503]);

const UPSTREAM_ID = 'i-2';

const CLOSINGS = ['end', 'reset'] as const;

interface HeadForm {
  readonly title: string;
  /** Head without its last line end, for an attempt id of any length. */
  readonly lines: (attemptId: string) => readonly string[];
}

function identityLines(attemptId: string): readonly string[] {
  return [
    `Attempt-Id: ${attemptId}`,
    `Response-Signature: ${signatureOf(UPSTREAM_ID, attemptId)}`,
  ];
}

const HEAD_FORMS: readonly HeadForm[] = [
  {
    title: 'with a length of 0 first',
    lines: id => ['HTTP/1.1 200 OK', 'Content-Length: 0', ...identityLines(id)],
  },
  {
    title: 'with a length last',
    lines: id => [
      'HTTP/1.1 200 OK',
      ...identityLines(id),
      'Content-Length: 600',
    ],
  },
  {
    title: 'in chunks',
    lines: id => [
      'HTTP/1.1 200 OK',
      'Transfer-Encoding: chunked',
      ...identityLines(id),
    ],
  },
  {
    title: 'without a length',
    lines: id => ['HTTP/1.1 200 OK', ...identityLines(id)],
  },
  {
    title: 'of HTTP/1.0',
    lines: id => ['HTTP/1.0 200 OK', ...identityLines(id)],
  },
  {
    title: 'after an informational response',
    lines: id => [
      'HTTP/1.1 103 Early Hints',
      'Link: </a>',
      '',
      'HTTP/1.1 200 OK',
      'Content-Length: 0',
      ...identityLines(id),
    ],
  },
  {
    title: 'of a rejection',
    lines: id => [
      'HTTP/1.1 503 Service Unavailable',
      'Content-Length: 0',
      'Not-Executed: 1',
      `Attempt-Id: ${id}`,
    ],
  },
];

/** A request and how its upstream responds. */
interface Cut {
  readonly attemptId: string;
  readonly headStart: string;
  readonly closing: (typeof CLOSINGS)[number];
}

/** All requests for one form of a head, by attempt id. */
function cutsOf({lines}: HeadForm, kind: string): ReadonlyMap<string, Cut> {
  const cuts = new Map<string, Cut>();
  const idOf = (bytes: number, closing: string): string =>
    `${kind}-${closing}-${String(bytes).padStart(4, '0')}`;
  for (const closing of CLOSINGS) {
    const headBytes = lines(idOf(0, closing)).join('\r\n').length;
    // The last line end completes the head.
    for (let bytes = 0; bytes <= headBytes + 2; bytes += 1) {
      const attemptId = idOf(bytes, closing);
      const head = `${lines(attemptId).join('\r\n')}\r\n\r\n`;
      const headStart = head.slice(0, bytes);
      cuts.set(attemptId, {attemptId, headStart, closing});
    }
  }
  return cuts;
}

function respondWith(request: ReceivedRequest, {headStart, closing}: Cut) {
  const {socket} = request;
  if (closing === 'end') {
    socket.end(headStart);
    return;
  }
  socket.write(headStart, () => socket.resetAndDestroy());
}

for (const kind of ['read', 'order'] as const) {
  for (const form of HEAD_FORMS) {
    test.serial(
      `a response that ends within its head is not passed on as a response: ${kind}, ${form.title}`,
      async t => {
        // Guards against a success, or a promise, made from part of a head.
        const cuts = cutsOf(form, kind);
        const fleet = await startFleet(t, {
          services: ['shop', 'orders'],
          paths: [SAFE_PATH, ORDER_PATH],
        });
        const [shop, orders] = fleet.hosts;
        orders!.upstream.setHandler(request => {
          respondWith(request, cuts.get(request.attemptId)!);
        });
        const pending = [...cuts.values()];
        const unexpected: string[] = [];
        const sendAll = async (): Promise<void> => {
          for (
            let cut = pending.pop();
            cut !== undefined;
            cut = pending.pop()
          ) {
            const {attemptId} = cut;
            const {statusCode, isIncomplete} = await fleet.send(
              shop!,
              kind === 'order'
                ? orderRequest(attemptId)
                : {attemptId, path: '/a/1'},
            );
            const hasArrived = orders!.upstream.runIds.includes(attemptId);
            const isExpected = hasArrived
              ? statusCode === 502
              : REFUSAL_STATUS_CODES.has(statusCode);
            if (isExpected && !isIncomplete) continue;
            unexpected.push(`${String(statusCode)} ${attemptId}`);
          }
        };
        await Promise.all(Array.from({length: PARALLEL_COUNT}, sendAll));
        t.deepEqual(unexpected, []);
        const arrivedCount = new Set(orders!.upstream.runIds).size;
        t.log(`${String(arrivedCount)} of ${String(cuts.size)} arrived`);
        t.true(arrivedCount > cuts.size * MIN_ARRIVED_RATIO);
      },
    );
  }
}
