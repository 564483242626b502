import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {createUpstreamSender} from '../../../src/connection/upstream_sender.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import {FULMARHOLLOW_HEADERS} from '../../../src/protocol/fulmarhollow_headers.js';

for (const when of ['before', 'while'] as const) {
  test(`a request that is cancelled ${when} connecting does not make its upstream unreachable`, async t => {
    // Guards against clients that leave and so have all requests of an upstream cancelled.
    let requestsCount = 0;
    const server = createServer(() => {
      requestsCount += 1;
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const sender = createUpstreamSender({
      upstream: {address: '127.0.0.1', port},
      wireHeaders: FULMARHOLLOW_HEADERS,
      nowMillis: () => performance.now(),
    });
    t.teardown(() => {
      sender.dispose();
      server.close();
    });
    const {signal, cancel} = createCancelSource<CancelCause>();
    if (when === 'before') cancel('client-left');
    const result = await new Promise<UpstreamResult>(resolve => {
      sender.send(
        {
          attemptId: 'a-1',
          upstreamId: 'u-1',
          callerService: 'shop',
          method: 'POST',
          target: '/x',
          headers: ['host', 'orders'],
          body: Buffer.from('x'),
          isRepeatable: false,
          timeoutMillis: 5000,
          cancel: signal,
        },
        resolve,
      );
      cancel('client-left');
    });
    t.like(result, {kind: 'not-run', reason: 'client-left'});
    t.is(requestsCount, 0);
  });
}
