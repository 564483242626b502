import {connect} from 'node:net';
import test from 'ava';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {createHopFixture} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** Offset of the kind in a frame, after the length. */
const KIND_OFFSET_BYTES = 4;

test('a connection in the accept backlog is served although the listener closes', async t => {
  // While a node was replaced, it closed its listener before accepting a connection
  // on which a request had been sent. The connection was reset, and the read failed
  // with an unknown outcome although the request had never been received.
  const {listener} = await createHopFixture(t, () => Promise.resolve());
  const socket = connect(listener.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  let received = Buffer.alloc(0);
  let failure: NodeJS.ErrnoException | undefined;
  socket.on('data', (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
  });
  socket.on('error', error => {
    failure = error;
  });
  // The connection is in the backlog; the listener has not accepted it yet.
  await new Promise(process.nextTick);
  const closed = listener.close();
  await waitUntil(
    'data or error',
    () => received.length > 0 || failure !== undefined,
  );
  t.is(failure?.code, undefined);
  t.is(received[KIND_OFFSET_BYTES], FRAME_KIND.hello);
  socket.end();
  await closed;
});
