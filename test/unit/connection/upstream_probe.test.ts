import {createServer} from 'node:net';
import test from 'ava';
import {bindListener} from '../../../src/connection/bind_listener.js';
import {probeUpstream} from '../../../src/connection/upstream_probe.js';

const ADDRESS = '127.0.0.1';

test('a probe distinguishes a listening process from one that has ended', async t => {
  const server = createServer();
  const port = await bindListener(server, {address: ADDRESS, port: 0});
  t.is(await probeUpstream({address: ADDRESS, port}), 'accepted');
  await new Promise(resolve => server.close(resolve));
  t.is(await probeUpstream({address: ADDRESS, port}), 'refused');
});
