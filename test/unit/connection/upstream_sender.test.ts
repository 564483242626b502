import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import {FULMARHOLLOW_HEADERS} from '../../../src/protocol/fulmarhollow_headers.js';
import {startSenderFixture, upstreamOrder} from '../../fakes/sender_fixture.js';

for (const when of ['before', 'while'] as const) {
  test(`a request that is cancelled ${when} connecting does not make its upstream unreachable`, async t => {
    // Guards against clients that leave and so have all requests of an upstream cancelled.
    const {server, sender} = await startSenderFixture(t, FULMARHOLLOW_HEADERS);
    let requestsCount = 0;
    server.on('request', () => {
      requestsCount += 1;
    });
    const {signal, cancel} = createCancelSource<CancelCause>();
    if (when === 'before') cancel('client-left');
    const result = await new Promise<UpstreamResult>(resolve => {
      sender.send(upstreamOrder('a-1', {cancel: signal}), resolve);
      cancel('client-left');
    });
    t.like(result, {kind: 'not-run', reason: 'client-left'});
    t.is(requestsCount, 0);
  });
}
