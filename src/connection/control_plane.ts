/**
 * The control side of a node, put together.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, toDisposable} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {FleetView, HostPhase} from '../process/fleet_view.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {PauseDetector} from '../process/pause_detector.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {Settings} from '../process/settings.js';
import type {JsonValue, StateDump} from '../process/state_dump.js';
import type {ViewFreshness} from '../process/view_freshness.js';
import type {ControlClient} from './control_client.js';
import type {KeyHandOverReceiver, ViewConfirmer} from './control_handlers.js';
import type {ControlServer} from './control_server.js';
import {createControlServer} from './control_server.js';
import type {FirstPicture} from './peer_mesh.js';
import {createPeerMesh} from './peer_mesh.js';
import {createPlatformClient} from './platform_client.js';
import {createPlatformReader} from './platform_reader.js';
import type {ReaderRole} from './reader_role.js';

/** The control side of a node. */
export abstract class ControlPlane implements Disposable {
  /** Listens, opens peer streams and starts to read; returns the port. */
  abstract start(): Promise<number>;
  /** Waits, for a bounded time, until a peer has shared what it holds. */
  abstract awaitFirstPicture(): Effect.Effect<FirstPicture>;
  /** Announces the own phase; returns when the present peers have it, within a bound. */
  abstract announce(phase: HostPhase): Effect.Effect<void>;
  /** Whether this node reads the platform, and as what. */
  abstract readerRole(): ReaderRole;
  abstract dispose(): void;
}

/** Options of `createControlPlane`. */
export interface ControlPlaneOptions {
  readonly settings: Settings;
  readonly client: ControlClient;
  readonly policyStore: PolicyStore;
  readonly fleetView: FleetView;
  readonly freshness: ViewFreshness;
  readonly pauseDetector: PauseDetector;
  readonly viewConfirmer: ViewConfirmer;
  readonly keyHandOverReceiver: KeyHandOverReceiver;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly stateDump: StateDump;
  readonly time: TimeSource;
  /** Longest wait of a starting node for what its seeds hold. */
  readonly firstPictureMillis?: number | undefined;
}

const ANY_ADDRESSES: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Creates the control side; nothing listens before `start`. */
export function createControlPlane(options: ControlPlaneOptions): ControlPlane {
  const {settings, policyStore, fleetView, freshness} = options;
  const {logger, stateDump, pauseDetector} = options;
  const store = createDisposableStore();
  const {control} = settings.listen;
  const mesh = store.add(
    createPeerMesh({
      ...options,
      own: settings,
      controlAddress: ANY_ADDRESSES.has(control.address) ? '' : control.address,
      settings: settings.control,
      seedPeers: settings.seedPeers,
    }),
  );
  const platformClient = store.add(createPlatformClient(settings.platformUrl));
  const reader = store.add(
    createPlatformReader({
      ...options,
      own: settings,
      settings: settings.control,
      client: platformClient,
      openLinksCount: () => mesh.openLinksCount(),
      onDidChangeLinks: mesh.onDidChangeLinks,
    }),
  );

  function listen(): Promise<ControlServer> {
    return createControlServer({
      ...options,
      listen: control,
      deployment: () => policyStore.newest()?.policy.deployment ?? '',
      exchangeHandler: mesh,
    });
  }

  /**
   * A platform that was restored from an old state may answer at once with an
   * old version. The peers know better, so they are asked first; the wait is
   * bounded because a cut-off node has only the platform.
   */
  function startReaderAfterPeers(): void {
    const fiber = Effect.runFork(
      Effect.map(mesh.awaitFirstPicture(), () => {
        reader.start();
      }),
    );
    store.add(
      toDisposable(() => {
        Effect.runFork(Fiber.interrupt(fiber));
      }),
    );
  }

  function describeFleet(): JsonValue {
    return {
      listRevision: fleetView.listRevision(),
      listDigest: fleetView.listDigest(),
      hostsCount: fleetView.list()?.hosts.length ?? 0,
      statuses: fleetView.statuses().map(status => ({...status})),
      lastConfirmedMonotonicMillis:
        freshness.lastConfirmedMonotonicMillis() ?? null,
    };
  }

  store.add(stateDump.register('fleet', describeFleet));
  store.add(stateDump.register('peers', () => mesh.describe()));
  store.add(stateDump.register('platform', () => reader.describe()));
  store.add(
    pauseDetector.onDidResume(({pausedMillis}) => {
      logger.warn('clock-jumped', {pausedMillis});
      freshness.invalidate();
      mesh.probe();
    }),
  );

  return new (class extends ControlPlane {
    override async start(): Promise<number> {
      const server = store.add(await listen());
      mesh.start(server.port);
      startReaderAfterPeers();
      return server.port;
    }
    override awaitFirstPicture(): Effect.Effect<FirstPicture> {
      return mesh.awaitFirstPicture();
    }
    override announce(phase: HostPhase): Effect.Effect<void> {
      return mesh.announce(phase);
    }
    override readerRole(): ReaderRole {
      return reader.role();
    }
    override dispose(): void {
      store.dispose();
    }
  })();
}
