import {connect} from 'node:net';
import test from 'ava';
import {FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {createHopFixture} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** Place of the kind in a frame: behind its length. */
const KIND_OFFSET_BYTES = 4;

test('a connection that the system has accepted is served though the listener closes', async t => {
  // Reads failed with an unknown outcome while a node was replaced. A sender had
  // connected and sent its request, the node closed its listener before it took
  // the connection, and the system reset it: nobody could tell whether the
  // request had run, though it had not even been read.
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
  // The system has accepted it, and the listener has had no turn since.
  await new Promise(process.nextTick);
  const closed = listener.close();
  await waitUntil('ended', () => received.length > 0 || failure !== undefined);
  t.is(failure?.code, undefined);
  t.is(received[KIND_OFFSET_BYTES], FRAME_KIND.hello);
  socket.end();
  await closed;
});
