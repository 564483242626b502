import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {FaultyLink} from '../../../src/emulator/faulty_link.js';
import {createFaultyLink} from '../../../src/emulator/faulty_link.js';
import {LOOPBACK_ADDRESS, listen} from '../../../src/emulator/http_support.js';

interface LinkFixture {
  readonly link: FaultyLink;
  connectClient(): Promise<Socket>;
}

/** Starts an echo server behind a link; connections get the sources in order. */
async function start(
  t: ExecutionContext,
  sources: readonly string[],
): Promise<LinkFixture> {
  const echo = createServer(socket =>
    socket.on('error', () => {}).pipe(socket),
  );
  const targetPort = await listen(echo, LOOPBACK_ADDRESS, 0);
  const names = [...sources];
  const link = await createFaultyLink({
    targetPort,
    resolveSource: () => Promise.resolve(names.shift() ?? 'other'),
  });
  const clients: Socket[] = [];
  t.teardown(() => {
    for (const client of clients) client.destroy();
    link.close();
    echo.close();
  });
  return {
    link,
    connectClient: async () => {
      const client = connect(link.port, LOOPBACK_ADDRESS);
      client.on('error', () => {});
      clients.push(client);
      await new Promise(resolve => client.once('connect', resolve));
      return client;
    },
  };
}

function readEcho(client: Socket, text: string): Promise<string> {
  return new Promise(resolve => {
    client.once('data', chunk => {
      resolve(chunk.toString());
    });
    client.write(text);
  });
}

/** Returns whether no echo arrives while another client makes 20 round trips. */
async function isSilent(client: Socket, otherClient: Socket): Promise<boolean> {
  let hasEcho = false;
  void readEcho(client, 'lost').then(() => (hasEcho = true));
  for (let i = 0; i < 20; i += 1) await readEcho(otherClient, 'tick');
  return !hasEcho;
}

// Emulates a middlebox that lost its state of open connections: requests on them
// hang, while new connections work.
test('stalled connections stay silent while new ones work', async t => {
  const {link, connectClient} = await start(t, []);
  const old = await connectClient();
  t.is(await readEcho(old, 'one'), 'one');
  link.stallOpenConnections();
  const fresh = await connectClient();
  t.true(await isSilent(old, fresh));
  link.setDefaultMode('open');
  t.true(await isSilent(old, fresh));
  t.false(old.destroyed);
});

// Emulates a partition of one availability zone: its packets are delayed until
// the partition ends, while other zones are reachable.
test('only a silent source is partitioned, and it resumes when opened', async t => {
  const {link, connectClient} = await start(t, ['a', 'b']);
  const a = await connectClient();
  t.is(await readEcho(a, 'one'), 'one');
  const b = await connectClient();
  t.is(await readEcho(b, 'one'), 'one');
  link.setMode('a', 'silent');
  t.true(await isSilent(a, b));
  const late = new Promise(resolve => a.once('data', resolve));
  link.setMode('a', 'open');
  t.is(String(await late), 'lost');
});

test('a reset source loses its connections', async t => {
  const {link, connectClient} = await start(t, ['a']);
  const a = await connectClient();
  t.is(await readEcho(a, 'one'), 'one');
  const closed = new Promise(resolve => a.once('close', resolve));
  link.setMode('a', 'reset');
  await closed;
  t.is(link.openConnectionsCount(), 0);
});

test('a link without a listener refuses connections until it listens again', async t => {
  const {link, connectClient} = await start(t, []);
  await link.setAccepting(false);
  const refused = connect(link.port, LOOPBACK_ADDRESS);
  const error = await new Promise<NodeJS.ErrnoException>(resolve =>
    refused.once('error', resolve),
  );
  t.is(error.code, 'ECONNREFUSED');
  await link.setAccepting(true);
  t.is(await readEcho(await connectClient(), 'one'), 'one');
});

test('a link with limited bandwidth delivers all bytes in order, for each connection', async t => {
  const {link, connectClient} = await start(t, []);
  link.setBandwidth(4000);
  const first = await connectClient();
  const second = await connectClient();
  const text = Array.from({length: 400}, (_, i) => `line ${String(i)}\n`).join(
    '',
  );
  const received: string[] = [];
  const whole = new Promise<void>(resolve => {
    first.on('data', (chunk: Buffer) => {
      received.push(chunk.toString());
      if (received.join('').length === text.length) resolve();
    });
  });
  for (let at = 0; at < text.length; at += 100) {
    first.write(text.slice(at, at + 100));
  }
  t.is(await readEcho(second, 'two'), 'two');
  // The bandwidth limit has not let all bytes through yet.
  t.true(received.join('').length < text.length);
  await whole;
  t.is(received.join(''), text);
  link.setBandwidth(undefined);
  t.is(await readEcho(second, 'three'), 'three');
});
