/**
 * Connections to the control listener of a peer that fail without an error.
 */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import test from 'ava';
import {createControlSession} from '../../../src/connection/control_session.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {waitUntil} from '../../fakes/wait_until.js';

/*
 * Symptom: calls to one peer time out one after the other although a new
 * connection would work.
 * Events: the connection is accepted and then carries nothing, without an end.
 * Cause: a connection that counts as usable because it shows no error.
 */
test('a connection that answers no ping is given up', async t => {
  let connectionsCount = 0;
  const server = createServer(socket => {
    connectionsCount += 1;
    socket.on('error', () => undefined);
    socket.resume();
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const metrics = createCountingMetrics();
  const url = `http://127.0.0.1:${String(port)}`;
  const session = createControlSession(url, metrics);
  const stream = await session.request('POST', '/call', {});
  stream.on('error', () => undefined);
  await waitUntil('the end of the stream', () => stream.destroyed);
  await waitUntil(
    'the error of the connection',
    () => metrics.countOf('control.connection_errors') === 1,
  );

  const next = await session.request('POST', '/call', {});
  next.on('error', () => undefined);
  await waitUntil('a fresh connection', () => connectionsCount === 2);
  session.dispose();
  await waitUntil('the end of the fresh stream', () => next.destroyed);
  await t.throwsAsync(() => session.request('POST', '/call', {}), {
    message: 'The connection was closed.',
  });
});
