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

/** Two nodes of a zone whose queries get the given response. */
function createFixture(respond: (query: Buffer) => Buffer | undefined) {
  const hosts: readonly KnownUpstream[] = ['a', 'b'].map(hostKey => ({
    entry: upstreamEntry({id: hostKey, hostKey}),
    coldUntilMillis: 0,
    firstSeenMillis: 0,
  }));
  const createRelay = (ownHostKey: string) =>
    createPeerRelay({
      selection: createWatcherSelection({
        hosts: () => hosts,
        ownHostKey,
        zone: 'zone-a',
        nowMillis: () => 0,
      }),
      documents: createDocumentCache(),
      send: (_entry, query) => Promise.resolve(respond(query)),
    });
  return {createRelay};
}

/** The node that polls, and the node that is polled. */
async function createPair(respond: (query: Buffer) => Buffer | undefined) {
  const {createRelay} = createFixture(respond);
  const [first, second] = [createRelay('a'), createRelay('b')];
  const isFirstPolling = (await first.poll(POSITION, false)) !== 'watch';
  return isFirstPolling
    ? {pollingNode: createRelay('a'), polledNode: second}
    : {pollingNode: createRelay('b'), polledNode: first};
}

test('one of two nodes watches and relays later changes to the other', async t => {
  const changes = [{key: 'servers/1', revision: 12, text: 'one'}];
  const latest: {response?: Buffer | undefined} = {};
  const {pollingNode, polledNode} = await createPair(() => latest.response);
  polledNode.recordRead({documents: [], position: POSITION});
  polledNode.recordChanges({
    documents: changes,
    position: {epoch: 1, revision: 12},
  });
  latest.response = polledNode.answerQuery(encodeRelayQuery(POSITION));
  t.is(await pollingNode.poll(POSITION, false), 'failed');
  polledNode.setWatching(true);
  latest.response = polledNode.answerQuery(encodeRelayQuery(POSITION));
  const {pollingNode: otherPollingNode} = await createPair(
    () => latest.response,
  );
  t.deepEqual(await otherPollingNode.poll(POSITION, false), {
    documents: changes,
    position: {epoch: 1, revision: 12},
  });
});

test('a node that cannot get all changes has to read', async t => {
  const latest: {response?: Buffer | undefined} = {};
  const {pollingNode, polledNode} = await createPair(() => latest.response);
  polledNode.recordRead({documents: [], position: POSITION});
  polledNode.setWatching(true);
  const outdatedPosition = {epoch: 1, revision: 9};
  latest.response = polledNode.answerQuery(encodeRelayQuery(outdatedPosition));
  t.is(await pollingNode.poll(outdatedPosition, false), 'read');
});

test('a node has to read documents that exceed the maximum response size', async t => {
  // A response with a configuration of more than two megabytes exceeded the frame
  // limit: its receiver closed the connection, and all requests on it failed.
  const latest: {response?: Buffer | undefined} = {};
  const {pollingNode, polledNode} = await createPair(() => latest.response);
  const text = '"'.repeat(1_200_000);
  polledNode.recordRead({documents: [], position: POSITION});
  polledNode.recordChanges({
    documents: [{key: 'op/config', revision: 11, text}],
    position: {epoch: 1, revision: 11},
  });
  polledNode.setWatching(true);
  latest.response = polledNode.answerQuery(encodeRelayQuery(POSITION));
  const reader = createFrameReader(() => undefined);
  t.notThrows(() => {
    reader.push(
      encodeFrame(FRAME_KIND.changes, 0, [latest.response ?? Buffer.alloc(0)]),
    );
  });
  t.is(await pollingNode.poll(POSITION, false), 'read');
});
