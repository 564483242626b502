/**
 * Pulls documents that a peer holds newer, each once.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {LRUCache} from 'lru-cache';
import type {Disposable} from '../base/lifecycle.js';
import type {FleetView} from '../process/fleet_view.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {
  ControlCallError,
  ControlClient,
  ControlPeer,
} from './control_client.js';
import type {PeerView} from './control_codec.js';
import type {PeerLink} from './peer_link.js';

/** The platform's two documents. */
export type DocumentKind = 'policy' | 'host-list';

const DOCUMENT_KINDS: readonly DocumentKind[] = ['policy', 'host-list'];
const REJECTED_COUNT = 64;

/** Time until a refused document or a failing peer is tried again. */
const REJECTED_MILLIS = 30_000;
const FAILED_PEER_MILLIS = 1_000;

/** Fetches newer documents from peers. */
export interface DocumentPuller extends Disposable {
  /** Looks for newer documents after a peer has told its view. */
  notice(): void;
  /** Whether a peer holds something newer that can be had. */
  isBehind(): boolean;
}

/** Options of `createDocumentPuller`. */
export interface DocumentPullerOptions {
  readonly client: ControlClient;
  readonly policyStore: PolicyStore;
  readonly fleetView: FleetView;
  readonly metrics: Metrics;
  /** Open links, whose views tell what there is to be had. */
  readonly links: () => Iterable<PeerLink>;
  /** Called when nothing newer is left to be had. */
  readonly onDidFinish: () => void;
}

interface Source {
  readonly peer: ControlPeer;
  /** Kind, version and digest as the peer told them. */
  readonly documentName: string;
}

/**
 * Creates a puller. Per kind one pull runs at a time: when a version is
 * flooded, several peers announce it at once, and pulling it from each would
 * multiply the bytes.
 */
export function createDocumentPuller(
  options: DocumentPullerOptions,
): DocumentPuller {
  const {client, policyStore, fleetView, metrics} = options;
  const running = new Map<DocumentKind, Fiber.Fiber<void>>();
  // Without this memory a document that is refused here would be pulled anew
  // at every heartbeat of every peer that holds it.
  const rejected = new LRUCache<string, true>({
    max: REJECTED_COUNT,
    ttl: REJECTED_MILLIS,
  });
  const failedPeers = new LRUCache<string, true>({
    max: REJECTED_COUNT,
    ttl: FAILED_PEER_MILLIS,
  });
  let isDisposed = false;

  function heldVersion(kind: DocumentKind): number {
    if (kind === 'host-list') return fleetView.listRevision();
    return policyStore.newest()?.version ?? 0;
  }

  /** The peer with the newest document of a kind, if newer than the held one. */
  function findSource(kind: DocumentKind): Source | undefined {
    let newestVersion = heldVersion(kind);
    let best: Source | undefined;
    for (const link of options.links()) {
      const {view} = link;
      if (view === undefined || versionIn(view, kind) <= newestVersion) {
        continue;
      }
      const source = sourceOf(kind, link, view);
      if (source === undefined || isBarred(source)) continue;
      newestVersion = versionIn(view, kind);
      best = source;
    }
    return best;
  }

  function sourceOf(
    kind: DocumentKind,
    link: PeerLink,
    view: PeerView,
  ): Source | undefined {
    const peer = addressOf(link, fleetView);
    if (peer === undefined) return undefined;
    const version = String(versionIn(view, kind));
    const digest = String(digestIn(view, kind));
    return {peer, documentName: `${kind}/${version}/${digest}`};
  }

  function isBarred(source: Source): boolean {
    return (
      rejected.has(source.documentName) || failedPeers.has(source.peer.hostName)
    );
  }

  function fetch(
    kind: DocumentKind,
    peer: ControlPeer,
  ): Effect.Effect<Uint8Array, ControlCallError> {
    const held = heldVersion(kind);
    return kind === 'policy'
      ? Effect.map(client.fetchPolicy(peer, held), answer => answer.document)
      : Effect.map(client.fetchHostList(peer, held), answer => answer.hostList);
  }

  function offer(kind: DocumentKind, bytes: Uint8Array): string {
    const result =
      kind === 'policy'
        ? policyStore.offer(bytes, 'peer')
        : fleetView.offerList(bytes, 'peer');
    return result.kind;
  }

  function take(kind: DocumentKind, source: Source, bytes: Uint8Array): void {
    if (bytes.length === 0) {
      failedPeers.set(source.peer.hostName, true);
      metrics.increment('control.pulls', {kind, result: 'empty'});
      return;
    }
    const result = offer(kind, bytes);
    metrics.increment('control.pulls', {kind, result});
    if (result !== 'accepted') rejected.set(source.documentName, true);
  }

  function pullAll(kind: DocumentKind): Effect.Effect<void> {
    return Effect.gen(function* () {
      while (true) {
        const source = findSource(kind);
        if (source === undefined) return;
        yield* fetch(kind, source.peer).pipe(
          Effect.map(bytes => {
            take(kind, source, bytes);
          }),
          Effect.catch(() => {
            failedPeers.set(source.peer.hostName, true);
            metrics.increment('control.pulls', {kind, result: 'failed'});
            return Effect.void;
          }),
        );
      }
    });
  }

  function start(kind: DocumentKind): void {
    if (isDisposed || running.has(kind)) return;
    if (findSource(kind) === undefined) return;
    const finish = Effect.sync(() => {
      running.delete(kind);
      if (!isDisposed) options.onDidFinish();
    });
    const fiber = Effect.runFork(
      Effect.yieldNow.pipe(
        Effect.andThen(pullAll(kind)),
        Effect.ensuring(finish),
      ),
    );
    running.set(kind, fiber);
  }

  return {
    notice: () => {
      for (const kind of DOCUMENT_KINDS) start(kind);
    },
    isBehind: () =>
      running.size > 0 ||
      DOCUMENT_KINDS.some(kind => findSource(kind) !== undefined),
    dispose: () => {
      isDisposed = true;
      for (const fiber of running.values()) {
        Effect.runFork(Fiber.interrupt(fiber));
      }
    },
  };
}

function versionIn(view: PeerView, kind: DocumentKind): number {
  return kind === 'policy' ? view.policyVersion : view.listRevision;
}

function digestIn(view: PeerView, kind: DocumentKind): bigint {
  return kind === 'policy' ? view.policyDigest : view.listDigest;
}

/** Where the peer of a link answers calls; its hello only if it is not listed. */
function addressOf(
  link: PeerLink,
  fleetView: FleetView,
): ControlPeer | undefined {
  if (link.target !== undefined) return link.target;
  const {hello} = link;
  if (hello === undefined) return undefined;
  const {hostName} = hello;
  const host = fleetView.host(hostName)?.host;
  if (host !== undefined) {
    return {hostName, address: host.address, controlPort: host.controlPort};
  }
  if (hello.controlAddress === '' || hello.controlPort === 0) return undefined;
  return {
    hostName,
    address: hello.controlAddress,
    controlPort: hello.controlPort,
  };
}
