import test from 'ava';
import {createPeerRelay} from '../../../src/connection/peer_relay.js';
import {createDocumentFreshness} from '../../../src/process/membership/document_freshness.js';
import {createDocumentCache} from '../../../src/process/membership/document_cache.js';
import {createWatcherSelection} from '../../../src/process/membership/watcher_selection.js';
import {createPeerPositions} from '../../../src/process/membership/peer_positions.js';
import {startDocumentFeeds} from '../../../src/daemon/document_feeds.js';
import {createConfigurationHolder} from '../../../src/process/membership/configuration_holder.js';
import {DecisionLog} from '../../../src/process/log/decision_log.js';
import type {
  DocumentBatch,
  DocumentSource,
} from '../../../src/process/membership/document_source.js';
import {createNodeMetrics} from '../../../src/process/log/node_metrics.js';
import type {PublishedDocuments} from '../../../src/process/membership/published_documents.js';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {upstreamEntry} from '../../fakes/route_documents.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** A source with one list, published as names separated by spaces. */
function createListDocuments() {
  const watches: ((read: DocumentBatch) => void)[] = [];
  let revision = 1;
  const readOf = (text: string): DocumentBatch => ({
    documents: [{key: 'list', revision, text}],
    position: {epoch: 0, revision},
  });
  const source: DocumentSource = {
    read: prefix =>
      Promise.resolve(
        prefix === 'list'
          ? readOf('a b')
          : {documents: [], position: {epoch: 0, revision}},
      ),
    watch: prefix =>
      new Promise(resolve => {
        if (prefix === 'list') watches.push(resolve);
      }),
    dispose: () => undefined,
  };
  const documents: PublishedDocuments = {
    source,
    configurationPrefix: 'configuration',
    upstreamsPrefix: 'list',
    sharedPrefix: undefined,
    listsAllUpstreams: true,
    decodeConfiguration: () => ({kind: 'other'}),
    decodeUpstreams: ({text}) => {
      if (text === undefined) return {kind: 'other'};
      if (text === 'broken') return {kind: 'invalid', reason: 'no list'};
      const ids = text.split(' ');
      const entries = ids.map(id => upstreamEntry({id, hostKey: id}));
      return {kind: 'valid', value: entries};
    },
    upstreamIdOf: key => key,
  };
  return {
    documents,
    publish: async (text: string): Promise<void> => {
      await waitUntil('watched', () => watches.length > 0);
      revision += 1;
      watches.shift()?.(readOf(text));
    },
  };
}

test('an invalid list of all upstreams leaves the known ones in use', async t => {
  // Guards against an outage after a mistaken publication of the host list: a list that
  // could not be parsed was treated as an empty one.
  const {documents, publish} = createListDocuments();
  const events: string[] = [];
  const directory = createUpstreamDirectory({
    nowMillis: () => 0,
    onChange: () => undefined,
  });
  const feeds = startDocumentFeeds({
    documents,
    directory,
    peerPositions: createPeerPositions(),
    relay: createPeerRelay({
      selection: createWatcherSelection({
        hosts: directory.hosts,
        ownHostKey: '',
        zone: '',
        nowMillis: () => 0,
      }),
      documents: createDocumentCache(),
      freshness: createDocumentFreshness({
        applyWithinMillis: 0,
        nowMillis: () => 0,
      }),
      nowMillis: () => 0,
      send: () => Promise.resolve(undefined),
    }),
    configuration: createConfigurationHolder(),
    log: new (class extends DecisionLog {
      override logRequestEvent(event: string): void {
        events.push(event);
      }
      override logStateEvent(event: string): void {
        events.push(event);
      }
    })(),
    metrics: createNodeMetrics(),
    // No delay for batching changes.
    applyWithinMillis: 0,
    nowMillis: () => 0,
    random: () => 0,
    onLimits: () => undefined,
  });
  t.teardown(feeds.dispose);
  await waitUntil('read', () => directory.count() === 2);
  await publish('broken');
  await waitUntil('reported', () => events.includes('upstream-invalid'));
  t.is(directory.listReady('orders').length, 2);
  await publish('a');
  await waitUntil('read again', () => directory.count() === 1);
  t.is(directory.find('a')?.entry.id, 'a');
});
