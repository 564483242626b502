import {mock} from 'node:test';
import test from 'ava';
import type {FrameConnection} from '../../../src/connection/frame_connection.js';
import {createIncomingHop} from '../../../src/connection/incoming_hop.js';
import {
  MAX_REPLY_TIMEOUT_MILLIS,
  RECONNECT_WINDOW_MILLIS,
} from '../../../src/process/membership/reconnect_times.js';
import type {BodyForm} from '../../../src/protocol/hop_messages.js';
import {createHopRequest} from '../../fakes/hop_fixture.js';

const LONG_MILLIS = 60_000;

test.serial.beforeEach(() => {
  mock.timers.enable({apis: ['setTimeout']});
});

test.serial.afterEach.always(() => {
  mock.timers.reset();
});

interface LostRequest {
  readonly isRepeatable: boolean;
  readonly leftMillis: number;
  readonly bodyForm?: BodyForm;
}

/** Returns how long a request continues after its sender's process has ended. */
function measureDetachedMillis(request: LostRequest): number {
  const connection: FrameConnection = {
    send: () => undefined,
    end: () => undefined,
    destroy: () => undefined,
  };
  const hop = createIncomingHop({
    request: {
      ...createHopRequest(request.isRepeatable),
      hopId: 'h',
      bodyForm: 'inline',
      ...request,
    },
    inlineBody: Buffer.alloc(0),
    channel: {
      connection,
      channelId: 1,
      isLoadReportDue: () => false,
      close: () => undefined,
    },
    bodyBytes: () => 1000,
    nowMillis: () => 0,
    onAnswered: () => undefined,
    onDone: () => undefined,
  });
  hop.detach(connection);
  let millis = 0;
  while (!hop.cancel.isCancelled && millis < 2 * LONG_MILLIS) {
    mock.timers.tick(100);
    millis += 100;
  }
  return millis;
}

test.serial('a read ends if its sender does not reconnect', t => {
  // Guards against upstreams that work for processes that have been killed.
  const millis = measureDetachedMillis({
    isRepeatable: true,
    leftMillis: LONG_MILLIS,
  });
  t.is(millis, RECONNECT_WINDOW_MILLIS);
});

test.serial('a sender has time for two attempts to reconnect', t => {
  // Guards against runs that are cut while their sender still waits for a reply.
  const millis = measureDetachedMillis({
    isRepeatable: true,
    leftMillis: LONG_MILLIS,
  });
  t.true(millis > 2 * MAX_REPLY_TIMEOUT_MILLIS);
});

test.serial('a read without a connection ends at its deadline', t => {
  t.is(measureDetachedMillis({isRepeatable: true, leftMillis: 900}), 900);
});

test.serial('an order without a connection continues until its deadline', t => {
  // Guards against orders that are cut, since they may not run again.
  const millis = measureDetachedMillis({
    isRepeatable: false,
    leftMillis: LONG_MILLIS,
  });
  t.is(millis, LONG_MILLIS);
});

test.serial('an order without its body does not hold its slot for long', t => {
  // Guards against slots that are held for bodies that never arrive.
  const millis = measureDetachedMillis({
    isRepeatable: false,
    leftMillis: LONG_MILLIS,
    bodyForm: 'held-back',
  });
  t.is(millis, RECONNECT_WINDOW_MILLIS);
});
