import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {Socket} from 'node:net';
import test from 'ava';
import {LOOPBACK_ADDRESS, listen} from '../../../src/emulator/http_support.js';
import {
  canFindSocketOwners,
  createSocketOwnerFinder,
} from '../../../src/emulator/socket_owner.js';

test('finds the process that owns the remote end of a connection', async t => {
  if (!canFindSocketOwners()) {
    t.pass('no /proc/net/tcp here; scenario statements that cut zones need it');
    return;
  }
  const server = createServer();
  t.teardown(() => server.close());
  const port = await listen(server, LOOPBACK_ADDRESS, 0);
  const script = `require('net').connect(${String(port)}, '${LOOPBACK_ADDRESS}')`;
  const client = spawn(process.execPath, ['-e', script], {stdio: 'ignore'});
  t.teardown(() => client.kill('SIGKILL'));
  const [socket] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => socket.destroy());
  const remotePort = socket.remotePort!;
  const pid = client.pid!;
  const findAmong = (pids: readonly number[]) =>
    createSocketOwnerFinder(() => pids)(remotePort);
  t.is(await findAmong([process.pid, pid]), pid);
  t.is(await findAmong([process.pid]), undefined);
});
