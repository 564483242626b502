/**
 * Wires the relay of changes of the published documents to the other nodes.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {createPeerQueryClient} from '../connection/peer_query_client.js';
import type {PeerRelay} from '../connection/peer_relay.js';
import {createPeerRelay} from '../connection/peer_relay.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import {createDocumentCache} from '../process/membership/document_cache.js';
import {createDocumentFreshness} from '../process/membership/document_freshness.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import {createWatcherSelection} from '../process/membership/watcher_selection.js';
import type {NodeSettings} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';

/** Dependencies of the relay. */
export interface RelayHandlingOptions {
  readonly settings: () => NodeSettings;
  readonly directory: UpstreamDirectory;
  readonly log: DecisionLog;
  readonly nowMillis: () => number;
}

/** The relay of a node. */
export interface RelayHandling extends Disposable {
  readonly relay: PeerRelay;
}

/** Interval of the check for idle connections. */
const IDLE_CHECK_INTERVAL_MILLIS = 1000;

/** Starts the relay of a node. */
export function startRelayHandling({
  settings,
  directory,
  log,
  nowMillis,
}: RelayHandlingOptions): RelayHandling {
  const {hostKey, zone, applyWithinMillis} = settings();
  const store = createDisposableStore();
  const queryClient = createPeerQueryClient({
    responseKind: FRAME_KIND.changes,
    nowMillis,
  });
  store.add(queryClient);
  store.add(
    createIntervalTimer(
      IDLE_CHECK_INTERVAL_MILLIS,
      queryClient.closeIdleConnections,
    ),
  );
  const relay = createPeerRelay({
    selection: createWatcherSelection({
      hosts: directory.hosts,
      ownHostKey: hostKey,
      zone,
      nowMillis,
    }),
    documents: createDocumentCache(),
    freshness: createDocumentFreshness({applyWithinMillis, nowMillis}),
    nowMillis,
    send: async (entry, query, timeoutMillis) => {
      const response = await queryClient.query(
        entry.node,
        query,
        timeoutMillis,
      );
      return typeof response === 'string' ? undefined : response;
    },
    onPolled: (entry, result) => {
      if (result !== 'failed') return;
      log.logRequestEvent('relay-failed', {peer: entry.node.address});
    },
  });
  return {relay, dispose: store.dispose};
}
