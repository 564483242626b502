/**
 * The node's part in the mesh of peer streams that spreads versions, documents
 * and host statuses.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {Disposable} from '../base/lifecycle.js';
import {
  createDisposableStore,
  createIntervalTimer,
  createTimeoutTimer,
} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {TimeSource} from '../base/time_source.js';
import type {FleetView, HostPhase, HostStatus} from '../process/fleet_view.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {SelectingHost} from '../process/peer_selection.js';
import {createPeerSlots} from '../process/peer_selection.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {ControlSettings, SeedPeer} from '../process/settings.js';
import type {JsonValue} from '../process/state_dump.js';
import {createStatusAnnouncer} from '../process/status_announcer.js';
import type {ViewFreshness} from '../process/view_freshness.js';
import type {ControlMessage} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ControlClient} from './control_client.js';
import type {PeerView} from './control_codec.js';
import {
  createHeartbeat,
  createStatusUpdate,
  decodeView,
  readOwnView,
} from './control_codec.js';
import {ExchangeHandler} from './control_handlers.js';
import {createDocumentPuller} from './document_puller.js';
import type {ExchangeContext} from './exchange_session.js';
import {sendHello} from './exchange_session.js';
import {createInboundStreams} from './inbound_streams.js';
import {createLinkSet} from './link_set.js';
import {createPeerChooser} from './peer_chooser.js';
import type {PeerLink} from './peer_link.js';
import {peerNameOf} from './peer_link.js';
import {createPeerStreams} from './peer_streams.js';
import {createPeerSuspicion} from './peer_suspicion.js';
import {createStatusExchange} from './status_exchange.js';
import {awaitStatusReceipt} from './status_receipt.js';
import {createVersionConflicts} from './version_conflicts.js';

/** Inbound streams accepted for each stream this node opens itself. */
const INBOUND_RATIO = 4;
const INBOUND_MINIMUM_COUNT = 16;

/** Default of the wait for the first picture. */
const FIRST_PICTURE_MILLIS = 1_500;

/** Longest time without a look at the choice of peers. */
const RECHECK_MILLIS = 5_000;

/** How a starting node came to its first picture of the fleet. */
export type FirstPicture = 'peers' | 'timeout' | 'no-seeds';

/** The mesh as seen by the node. */
export abstract class PeerMesh extends ExchangeHandler implements Disposable {
  /** Opens the streams; `controlPort` is where this node listens. */
  abstract start(controlPort: number): void;
  /** Announces the own phase; returns when the present peers have it, within a bound. */
  abstract announce(phase: HostPhase): Effect.Effect<void>;
  /** Waits, for a bounded time, until a peer has shared what it holds. */
  abstract awaitFirstPicture(): Effect.Effect<FirstPicture>;
  /** Asks all peers at once what they hold, after the picture became doubtful. */
  abstract probe(): void;
  /** Open streams in both directions. */
  abstract openLinksCount(): number;
  /** Fires with the number of open streams. */
  abstract readonly onDidChangeLinks: Event<number>;
  /** Content of the dump's section `peers`. */
  abstract describe(): JsonValue;
  abstract dispose(): void;
}

/** Options of `createPeerMesh`. */
export interface PeerMeshOptions {
  readonly own: SelectingHost;
  /** IP address of the control listener as reached by peers; may be empty. */
  readonly controlAddress: string;
  readonly settings: ControlSettings;
  readonly seedPeers: readonly SeedPeer[];
  readonly client: ControlClient;
  readonly policyStore: PolicyStore;
  readonly fleetView: FleetView;
  readonly freshness: ViewFreshness;
  readonly metrics: Metrics;
  readonly time: TimeSource;
  readonly logger: Logger;
  /** Longest wait of a starting node for what its seeds hold. */
  readonly firstPictureMillis?: number | undefined;
}

/** Creates a mesh without streams. */
export function createPeerMesh(options: PeerMeshOptions): PeerMesh {
  const {own, settings, seedPeers, client, metrics, time, logger} = options;
  const {policyStore, fleetView, freshness} = options;
  const {firstPictureMillis = FIRST_PICTURE_MILLIS} = options;
  const store = createDisposableStore();
  const links = store.add(createLinkSet());
  const choiceChanged = store.add(createEmitter<undefined>());
  const viewLearned = store.add(createEmitter<PeerLink>());
  const firstPicture = Deferred.makeUnsafe<FirstPicture>();
  const suspicion = createPeerSuspicion(time);
  const conflicts = createVersionConflicts({metrics, logger});
  const shared = {fleetView, metrics, time, links: () => links};
  const statusExchange = store.add(createStatusExchange(shared));
  const announcer = store.add(
    createStatusAnnouncer({...shared, hostName: own.hostName}),
  );
  const puller = store.add(
    createDocumentPuller({
      ...shared,
      client,
      policyStore,
      onDidFinish: settleFirstPicture,
    }),
  );
  let controlPort = 0;
  let toldDeployment = deployment();

  const context: ExchangeContext = {
    metrics,
    hostName: own.hostName,
    deployment,
    controlAddress: options.controlAddress,
    controlPort: () => controlPort,
    ownView,
    silenceMillis: settings.peerSilenceMillis,
    onDidOpen: openLink,
    onDidReceive: receive,
    onDidClose: closeLink,
  };
  const streamsCount = settings.zonePeersCount + settings.remotePeersCount;
  const inboundStreams = store.add(
    createInboundStreams({
      context,
      metrics,
      limitCount: Math.max(INBOUND_MINIMUM_COUNT, INBOUND_RATIO * streamsCount),
    }),
  );

  function deployment(): string {
    return policyStore.newest()?.policy.deployment ?? '';
  }

  function ownView(): PeerView {
    const ageMillis = freshness.platformAgeMillis();
    return readOwnView(policyStore, fleetView, ageMillis);
  }

  function openLink(link: PeerLink): void {
    links.add(link);
    metrics.gauge('control.links', links.size);
    logger.info('peer-connected', describeOrigin(link));
    sendOwnStatus(link);
    learnView(link);
  }

  /** A host that has just started must not wait for the digests to be compared. */
  function sendOwnStatus(link: PeerLink): void {
    const status = announcer.current();
    if (status !== undefined) link.send(createStatusUpdate([status]));
  }

  function closeLink(link: PeerLink): void {
    if (!links.delete(link)) return;
    metrics.gauge('control.links', links.size);
    logger.info('peer-lost', describeOrigin(link));
    choiceChanged.fire(undefined);
  }

  function receive(link: PeerLink, {message}: ControlMessage): void {
    const kind = message.case ?? 'none';
    metrics.increment('control.messages_received', {kind});
    switch (message.case) {
      case 'hello':
        // A peer says hello again to be told what this node holds.
        link.send(createHeartbeat(ownView()));
        learnView(link);
        return;
      case 'heartbeat':
        link.view = decodeView(message.value.view);
        learnView(link);
        return;
      case 'hostStatusUpdate':
        statusExchange.receive(link, message.value);
        return;
      case 'hostStatusRequest':
        statusExchange.sendAll(link);
        return;
      case undefined:
        return;
    }
  }

  /** Acts on what a peer holds: pulls, compares, confirms. */
  function learnView(link: PeerLink): void {
    const {view} = link;
    if (view === undefined) return;
    const held = ownView();
    if (view.platformAgeMillis !== undefined) {
      freshness.learnPlatformAge(view.platformAgeMillis);
    }
    conflicts.compare(link, view, held);
    statusExchange.compare(link, view, held);
    puller.notice();
    viewLearned.fire(link);
    if (isNewer(view, held)) return;
    freshness.confirm('peer');
    settleFirstPicture();
  }

  function settleFirstPicture(): void {
    if (links.size === 0 || puller.isBehind()) return;
    endFirstPicture('peers');
  }

  function endFirstPicture(picture: FirstPicture): void {
    Deferred.doneUnsafe(firstPicture, Effect.succeed(picture));
  }

  function sendHeartbeats(): void {
    const message = createHeartbeat(ownView());
    for (const link of links) link.send(message);
  }

  /** Tells a new version to the peers that are not known to hold it. */
  function tellNews(): void {
    const held = ownView();
    const message = createHeartbeat(held);
    for (const link of links) {
      if (link.view === undefined || isNewer(held, link.view)) {
        link.send(message);
      }
    }
  }

  function probe(): void {
    for (const link of links) sendHello(link, context);
  }

  /** Peers that met this node before its first policy do not know its deployment. */
  function tellDeployment(): void {
    if (toldDeployment === deployment()) return;
    toldDeployment = deployment();
    probe();
  }

  function noticeLeaving(statuses: readonly HostStatus[]): void {
    const leaving = statuses.filter(status => status.phase !== 'serving');
    const isPeer = leaving.some(status =>
      links.isLinked('outbound', status.hostName),
    );
    if (isPeer) choiceChanged.fire(undefined);
  }

  function start(listeningPort: number): void {
    controlPort = listeningPort;
    if (seedPeers.length === 0) endFirstPicture('no-seeds');
    store.add(
      createTimeoutTimer(firstPictureMillis, () => {
        endFirstPicture('timeout');
      }),
    );
    store.add(createIntervalTimer(settings.heartbeatMillis, sendHeartbeats));
    store.add(
      policyStore.onDidAccept(() => {
        tellDeployment();
        tellNews();
      }),
    );
    store.add(
      fleetView.onDidChangeList(() => {
        tellNews();
        choiceChanged.fire(undefined);
      }),
    );
    store.add(fleetView.onDidLearnStatuses(noticeLeaving));
    store.add(openStreams());
  }

  function openStreams(): Disposable {
    const {remotePeersCount} = settings;
    const chooser = createPeerChooser({
      own,
      remotePeersCount,
      seedPeers,
      fleetView,
      suspicion,
      isLinkedInbound: hostName => links.isLinked('inbound', hostName),
    });
    return createPeerStreams({
      slots: createPeerSlots(settings),
      chooser,
      suspicion,
      client,
      context,
      metrics,
      onDidChangeChoice: choiceChanged.event,
      recheckMillis: RECHECK_MILLIS,
    });
  }

  return new (class extends PeerMesh {
    override readonly onDidChangeLinks = links.onDidChange;

    override start(listeningPort: number): void {
      start(listeningPort);
    }
    override serve(
      incoming: AsyncIterable<ControlMessage>,
      signal: AbortSignal,
    ): AsyncIterable<ControlMessage> {
      return inboundStreams.serve(incoming, signal);
    }
    override announce(phase: HostPhase): Effect.Effect<void> {
      return Effect.suspend(() => {
        announcer.announce(phase);
        statusExchange.flush();
        return awaitStatusReceipt({
          links,
          onDidLearnView: viewLearned.event,
          ownDigest: () => fleetView.statusDigest(),
          askPeers: probe,
        });
      });
    }
    override awaitFirstPicture(): Effect.Effect<FirstPicture> {
      return Deferred.await(firstPicture);
    }
    override probe(): void {
      probe();
    }
    override openLinksCount(): number {
      return links.size;
    }
    override describe(): JsonValue {
      return {
        links: [...links].map(describeLink),
        suspectsCount: suspicion.count,
      };
    }
    override dispose(): void {
      store.dispose();
    }
  })();
}

/** Whether `view` has a document of a higher version than `other`. */
function isNewer(view: PeerView, other: PeerView): boolean {
  return (
    view.policyVersion > other.policyVersion ||
    view.listRevision > other.listRevision
  );
}

function describeOrigin(link: PeerLink): Readonly<Record<string, string>> {
  return {peer: peerNameOf(link), direction: link.direction};
}

function describeLink(link: PeerLink): JsonValue {
  return {
    peer: peerNameOf(link),
    direction: link.direction,
    policyVersion: link.view?.policyVersion ?? 0,
    listRevision: link.view?.listRevision ?? 0,
    platformAgeMillis: link.view?.platformAgeMillis ?? null,
    queuedCount: link.outgoing.length,
  };
}
