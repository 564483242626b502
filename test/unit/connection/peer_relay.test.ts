import test from 'ava';
import {createPeerRelay} from '../../../src/connection/peer_relay.js';
import {createDocumentCache} from '../../../src/process/membership/document_cache.js';
import type {KnownUpstream} from '../../../src/process/membership/known_upstream.js';
import {createWatcherSelection} from '../../../src/process/membership/watcher_selection.js';
import {encodeFrame, FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {createFrameReader} from '../../../src/protocol/hop_frames.js';
import {encodeRelayQuery} from '../../../src/protocol/relay_codec.js';
import {upstreamEntry} from '../../fakes/route_documents.js';

const POSITION = {epoch: 1, revision: 10};

/** Two nodes of a zone; the first one's documents are what it is given. */
function createFixture(answerOf: (question: Buffer) => Buffer | undefined) {
  const hosts: readonly KnownUpstream[] = ['a', 'b'].map(hostKey => ({
    entry: upstreamEntry({id: hostKey, hostKey}),
    coldUntilMillis: 0,
    firstSeenMillis: 0,
  }));
  const relayOf = (ownHostKey: string) =>
    createPeerRelay({
      selection: createWatcherSelection({
        hosts: () => hosts,
        ownHostKey,
        zone: 'zone-a',
        nowMillis: () => 0,
      }),
      documents: createDocumentCache(),
      send: (_entry, question) => Promise.resolve(answerOf(question)),
    });
  return {relayOf};
}

/** The node of both that is asked, and the one that asks. */
async function pairOf(answerOf: (question: Buffer) => Buffer | undefined) {
  const {relayOf} = createFixture(answerOf);
  const [first, second] = [relayOf('a'), relayOf('b')];
  const isFirstAsking = (await first.poll(POSITION, false)) !== 'watch';
  return isFirstAsking
    ? {asking: relayOf('a'), asked: second}
    : {asking: relayOf('b'), asked: first};
}

test('one of two nodes watches, and tells the other what is later', async t => {
  const changes = [{key: 'servers/1', revision: 12, text: 'one'}];
  const held: {answer?: Buffer | undefined} = {};
  const {asking, asked} = await pairOf(() => held.answer);
  asked.recordRead({documents: [], position: POSITION});
  asked.recordChanges({
    documents: changes,
    position: {epoch: 1, revision: 12},
  });
  held.answer = asked.answerQuery(encodeRelayQuery(POSITION));
  t.is(await asking.poll(POSITION, false), 'failed');
  asked.setWatching(true);
  held.answer = asked.answerQuery(encodeRelayQuery(POSITION));
  const {asking: another} = await pairOf(() => held.answer);
  t.deepEqual(await another.poll(POSITION, false), {
    documents: changes,
    position: {epoch: 1, revision: 12},
  });
});

test('who cannot be told all has to read', async t => {
  const held: {answer?: Buffer | undefined} = {};
  const {asking, asked} = await pairOf(() => held.answer);
  asked.recordRead({documents: [], position: POSITION});
  asked.setWatching(true);
  const before = {epoch: 1, revision: 9};
  held.answer = asked.answerQuery(encodeRelayQuery(before));
  t.is(await asking.poll(before, false), 'read');
});

test('documents that no message can hold are read', async t => {
  // Requests between two nodes were cut: an answer with a configuration of more than
  // two megabytes was no frame to its receiver, which closed the connection.
  const held: {answer?: Buffer | undefined} = {};
  const {asking, asked} = await pairOf(() => held.answer);
  const text = '"'.repeat(1_200_000);
  asked.recordRead({documents: [], position: POSITION});
  asked.recordChanges({
    documents: [{key: 'op/config', revision: 11, text}],
    position: {epoch: 1, revision: 11},
  });
  asked.setWatching(true);
  held.answer = asked.answerQuery(encodeRelayQuery(POSITION));
  const reader = createFrameReader(() => undefined);
  t.notThrows(() => {
    reader.push(
      encodeFrame(FRAME_KIND.changes, 0, [held.answer ?? Buffer.alloc(0)]),
    );
  });
  t.is(await asking.poll(POSITION, false), 'read');
});
