/**
 * Limits within which responses without a length are received before they are sent on.
 */
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {ReceivedResponse} from '../../../src/connection/received_response.js';
import type {
  UnframedBodies,
  UnframedResponse,
} from '../../../src/connection/unframed_bodies.js';
import {createUnframedBodies} from '../../../src/connection/unframed_bodies.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';

const MEBIBYTE = 1_048_576;

const LONG_MILLIS = 60_000;

interface Receiving {
  readonly upstream: PassThrough;
  readonly client: EventEmitter;
  readonly cancel: (cause: CancelCause) => void;
  readonly received: Promise<ReceivedResponse | 'aborted'>;
}

function receive(
  bodies: UnframedBodies,
  deadlineMillis = LONG_MILLIS,
): Receiving {
  const upstream = new PassThrough();
  const client = new EventEmitter();
  const source = createCancelSource<CancelCause>();
  const response: UnframedResponse = {
    statusCode: 200,
    headers: [],
    bodyStart: Buffer.from('start'),
    bodyRest: upstream,
    isUnframed: true,
  };
  const exchange = {
    response: client as unknown as ServerResponse,
    cancel: source.signal,
  };
  return {
    upstream,
    client,
    cancel: source.cancel,
    received: bodies.receive(response, exchange, deadlineMillis),
  };
}

test('a response is complete once its stream has ended', async t => {
  // Guards against a response that is sent before its end is known.
  const {upstream, received} = receive(createUnframedBodies(() => 0));
  upstream.write(' middle');
  upstream.end(' end');
  const complete = await received;
  t.like(complete, {bodyRest: undefined, isUnframed: true});
  if (complete === 'aborted') return;
  t.is(complete.bodyStart.toString(), 'start middle end');
});

test('a body that is aborted is reported, before or while it is received', async t => {
  // Guards against a request that waits for a stream that has closed.
  const bodies = createUnframedBodies(() => 0);
  const {upstream, received} = receive(bodies);
  upstream.write(' middle');
  upstream.destroy(new Error('reset'));
  t.is(await received, 'aborted');
  const closed = new PassThrough();
  closed.destroy();
  const early = bodies.receive(
    {
      statusCode: 200,
      headers: [],
      bodyStart: Buffer.alloc(0),
      bodyRest: closed,
      isUnframed: true,
    },
    {
      response: new EventEmitter() as unknown as ServerResponse,
      cancel: createCancelSource<CancelCause>().signal,
    },
    LONG_MILLIS,
  );
  t.is(await early, 'aborted');
});

test('a body is no longer received when its client has left', async t => {
  // Guards against memory and a connection that are held for no client.
  const {upstream, cancel, received} = receive(createUnframedBodies(() => 0));
  cancel('client-left');
  t.is(await received, 'aborted');
  t.true(upstream.destroyed);
});

test('a body is sent on as a stream beyond its limit, and at the deadline', async t => {
  // Guards against memory without a bound, and a response that is held back for good.
  const bodies = createUnframedBodies(() => 0);
  const long = receive(bodies);
  long.upstream.write(Buffer.alloc(MEBIBYTE));
  long.upstream.write('x');
  const started = await long.received;
  t.like(started, {bodyRest: long.upstream});
  if (started !== 'aborted') t.is(started.bodyStart.length, MEBIBYTE + 6);
  const late = receive(bodies, 1);
  late.upstream.write(' middle');
  t.like(await late.received, {bodyRest: late.upstream});
  t.false(late.upstream.destroyed);
});

test('bodies count until they have been sent to their clients', async t => {
  // Guards against memory that many slow clients fill together.
  const bodies = createUnframedBodies(() => 0);
  const clients: EventEmitter[] = [];
  for (let index = 0; index < 16; index += 1) {
    const {upstream, client, received} = receive(bodies);
    upstream.end(Buffer.alloc(MEBIBYTE));
    t.like(await received, {bodyRest: undefined});
    clients.push(client);
  }
  const beyond = receive(bodies);
  beyond.upstream.write('x');
  t.like(await beyond.received, {bodyRest: beyond.upstream});
  beyond.client.emit('close');
  clients[0]!.emit('close');
  const next = receive(bodies);
  next.upstream.end('x');
  t.like(await next.received, {bodyRest: undefined});
});
