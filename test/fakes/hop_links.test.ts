/**
 * Relays between nodes, which must neither lose nor repeat what they forward.
 */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import net from 'node:net';
import test from 'ava';
import {freePorts} from './free_ports.js';
import {openHopLinks} from './hop_links.js';
import {waitUntil} from './wait_until.js';

test('what a relay holds back twice at once is delivered once', async t => {
  // Guards against frames that a stand-in repeats, which look like a mixed response.
  const [port, targetPort] = await freePorts('127.0.0.1', 2);
  let received = '';
  const target = net.createServer((socket: Socket) => {
    socket.on('error', () => undefined);
    socket.on('data', chunk => (received += chunk.toString()));
  });
  target.listen(targetPort, '127.0.0.1');
  await once(target, 'listening');
  const links = await openHopLinks([
    {
      fromIndex: 0,
      toIndex: 1,
      address: '127.0.0.1',
      port: port!,
      targetPort: targetPort!,
    },
  ]);
  const client = net.connect(port!, '127.0.0.1');
  t.teardown(() => {
    client.destroy();
    links.close();
    target.close();
  });
  client.write('a');
  await waitUntil('forwarded', () => received === 'a');
  links.holdIncoming(1);
  links.holdIncoming(1);
  client.write('b');
  links.releaseIncoming(1);
  t.is(received, 'a');
  links.releaseIncoming(1);
  await waitUntil('released', () => received.length > 1);
  client.write('c');
  await waitUntil('all', () => received.includes('c'));
  t.is(received, 'abc');
});
