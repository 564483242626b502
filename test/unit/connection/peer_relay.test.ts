import test from 'ava';
import {createPeerRelay} from '../../../src/connection/peer_relay.js';
import type {PeerRelay} from '../../../src/connection/peer_relay.js';
import {createDocumentCache} from '../../../src/process/membership/document_cache.js';
import {createDocumentFreshness} from '../../../src/process/membership/document_freshness.js';
import type {SourcePosition} from '../../../src/process/membership/document_source.js';
import type {KnownUpstream} from '../../../src/process/membership/known_upstream.js';
import {createWatcherSelection} from '../../../src/process/membership/watcher_selection.js';
import {encodeFrame, FRAME_KIND} from '../../../src/protocol/hop_frames.js';
import {createFrameReader} from '../../../src/protocol/hop_frames.js';
import type {RelayResponse} from '../../../src/protocol/relay_codec.js';
import {
  decodeRelayResponse,
  encodeRelayQuery,
} from '../../../src/protocol/relay_codec.js';
import {upstreamEntry} from '../../fakes/route_documents.js';

const POSITION = {epoch: 1, revision: 10};

const clock = {millis: 0};

/** Time up to which the polled node knows all changes. */
const KNOWN_UNTIL_MILLIS = -10;

/** Polls a node for which there is something new. */
function answerQuery(
  relay: PeerRelay,
  position: SourcePosition,
): Buffer | undefined {
  let response: Buffer | undefined;
  relay.acceptQuery(encodeRelayQuery({position, ageMillis: 500}), answer => {
    response = answer;
  });
  return response;
}

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
      freshness: createDocumentFreshness({
        applyWithinMillis: 2000,
        nowMillis: () => clock.millis,
      }),
      nowMillis: () => clock.millis,
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
  polledNode.recordRead(
    {documents: [], position: POSITION},
    KNOWN_UNTIL_MILLIS,
  );
  polledNode.recordChanges(
    {
      documents: changes,
      position: {epoch: 1, revision: 12},
    },
    KNOWN_UNTIL_MILLIS,
  );
  latest.response = answerQuery(polledNode, POSITION);
  t.is(await pollingNode.poll(POSITION, false), 'failed');
  polledNode.setServing(true);
  latest.response = answerQuery(polledNode, POSITION);
  const {pollingNode: otherPollingNode} = await createPair(
    () => latest.response,
  );
  t.deepEqual(await otherPollingNode.poll(POSITION, false), {
    documents: changes,
    position: {epoch: 1, revision: 12},
    knownUntilMillis: KNOWN_UNTIL_MILLIS,
  });
});

test('a node that cannot get all changes has to read', async t => {
  const latest: {response?: Buffer | undefined} = {};
  const {pollingNode, polledNode} = await createPair(() => latest.response);
  polledNode.recordRead(
    {documents: [], position: POSITION},
    KNOWN_UNTIL_MILLIS,
  );
  polledNode.setServing(true);
  const outdatedPosition = {epoch: 1, revision: 9};
  latest.response = answerQuery(polledNode, outdatedPosition);
  t.is(await pollingNode.poll(outdatedPosition, false), 'read');
});

test('a node has to read documents that exceed the maximum response size', async t => {
  // A response with a configuration of more than two megabytes exceeded the frame
  // limit: its receiver closed the connection, and all requests on it failed.
  const latest: {response?: Buffer | undefined} = {};
  const {pollingNode, polledNode} = await createPair(() => latest.response);
  const text = '"'.repeat(1_200_000);
  polledNode.recordRead(
    {documents: [], position: POSITION},
    KNOWN_UNTIL_MILLIS,
  );
  polledNode.recordChanges(
    {
      documents: [{key: 'op/config', revision: 11, text}],
      position: {epoch: 1, revision: 11},
    },
    KNOWN_UNTIL_MILLIS,
  );
  polledNode.setServing(true);
  latest.response = answerQuery(polledNode, POSITION);
  const reader = createFrameReader(() => undefined);
  t.notThrows(() => {
    reader.push(
      encodeFrame(FRAME_KIND.changes, 0, [latest.response ?? Buffer.alloc(0)]),
    );
  });
  t.is(await pollingNode.poll(POSITION, false), 'read');
});

/** A node that knows everything up to `KNOWN_UNTIL_MILLIS`, and its responses. */
async function createPolledNode() {
  const {polledNode} = await createPair(() => undefined);
  polledNode.recordRead(
    {documents: [], position: POSITION},
    KNOWN_UNTIL_MILLIS,
  );
  polledNode.setServing(true);
  const responses: (RelayResponse | undefined)[] = [];
  const poll = (ageMillis: number | undefined): void => {
    const query = encodeRelayQuery({position: POSITION, ageMillis});
    polledNode.acceptQuery(query, response => {
      responses.push(decodeRelayResponse(response));
    });
  };
  return {polledNode, responses, poll};
}

test('a poll gets its response when the polled node has newer knowledge', async t => {
  // Guards against nodes that report a node as up to date which itself knows no more.
  const {polledNode, responses, poll} = await createPolledNode();
  poll(20);
  polledNode.recordChanges({documents: [], position: POSITION}, 0);
  t.is(responses.length, 0);
  polledNode.recordChanges({documents: [], position: POSITION}, 900);
  t.is(responses.length, 1);
  t.is(responses[0]?.knownUntilOffsetMillis, 900);
  t.deepEqual(responses[0]?.changes, []);
});

test('a poll gets its response when a change arrives', async t => {
  const {polledNode, responses, poll} = await createPolledNode();
  poll(20);
  const change = {key: 'op/config', revision: 11, text: 'v11'};
  polledNode.recordChanges(
    {documents: [change], position: {epoch: 1, revision: 11}},
    0,
  );
  t.deepEqual(responses[0]?.changes, [change]);
});

test('waiting polls are rejected at once when the polled node loses the source', async t => {
  const {polledNode, responses, poll} = await createPolledNode();
  poll(20);
  polledNode.setServing(false);
  t.false(responses[0]?.isServing);
});

test('a poll of an earlier release gets its response at once', async t => {
  const {responses, poll} = await createPolledNode();
  poll(undefined);
  t.is(responses.length, 1);
});

test('the number of waiting polls is bounded', async t => {
  const {polledNode, responses, poll} = await createPolledNode();
  for (let count = 0; count < 1500; count += 1) poll(20);
  polledNode.recordChanges({documents: [], position: POSITION}, 900);
  t.is(responses.length, 1000);
});
