/**
 * One node: creates its parts, connects them, starts and stops them in order.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {DisposableStore} from '../base/lifecycle.js';
import {createDisposableStore, toDisposable} from '../base/lifecycle.js';
import type {AdminServer} from '../connection/admin_server.js';
import {createAdminServer} from '../connection/admin_server.js';
import {createControlClient} from '../connection/connect_control_client.js';
import type {ControlClient} from '../connection/control_client.js';
import type {ControlPlane} from '../connection/control_plane.js';
import {createControlPlane} from '../connection/control_plane.js';
import {handOverKeys} from '../connection/key_hand_over.js';
import {runViewLease} from '../connection/view_lease_task.js';
import {createFleetView} from '../process/in_memory_fleet_view.js';
import {createPolicyStore} from '../process/in_memory_policy_store.js';
import type {PauseDetector} from '../process/pause_detector.js';
import {createPauseDetector} from '../process/pause_detector.js';
import {Readiness} from '../process/readiness.js';
import {createViewFreshness} from '../process/view_freshness.js';
import type {DaemonNode, ListenerPorts, NodeOptions} from './daemon_node.js';
import type {DataPath} from './data_path.js';
import {openDataPath} from './data_path.js';
import type {KeyParts} from './key_parts.js';
import {createKeyParts} from './key_parts.js';

/** Time for an announcement to reach the peers before listeners close. */
const SETTLE_MILLIS = 500;

/** Longest wait for requests in flight when no policy says otherwise. */
const DEFAULT_DRAIN_MILLIS = 10_000;

/** Parts that live as long as the node. */
interface NodeParts {
  readonly policies: ReturnType<typeof createPolicyStore>;
  readonly fleet: ReturnType<typeof createFleetView>;
  readonly client: ControlClient;
  readonly pauseDetector: PauseDetector;
  readonly keys: KeyParts;
  readonly control: ControlPlane;
  readonly admin: AdminServer;
}

/** Whether the node is starting, serving or stopping. */
interface NodePhase {
  current: 'starting' | 'serving' | 'draining';
}

/** Creates a node; nothing is opened before `start`. */
export function createNode(options: NodeOptions): DaemonNode {
  const store = createDisposableStore();
  const phase: NodePhase = {current: 'starting'};
  const incarnationMillis = Math.floor(options.time.wallMillis());
  const parts = createParts(options, store, phase);
  let dataPath: DataPath | undefined;

  const release = async (): Promise<void> => {
    await dataPath?.close();
    await parts.admin.close();
    store.dispose();
  };
  return {
    start: async () => {
      try {
        const opened = await openDataPath({
          ...options,
          ...parts,
        });
        dataPath = store.add(opened);
        store.add(parts.pauseDetector.onDidResume(opened.dropExpired));
        return await startControl(options, parts, opened, store, phase);
      } catch (error) {
        await release();
        throw error;
      }
    },
    stop: async () => {
      phase.current = 'draining';
      if (dataPath !== undefined) {
        await drain(options, parts, dataPath, incarnationMillis);
      }
      await release();
    },
  };
}

function createParts(
  options: NodeOptions,
  store: DisposableStore,
  phase: NodePhase,
): NodeParts {
  const {settings, metrics, time, stateDump, logger} = options;
  const policies = store.add(createPolicyStore({time, metrics, stateDump}));
  const fleet = createFleetView({time, metrics});
  const freshness = store.add(createViewFreshness(time));
  const pauseDetector = store.add(createPauseDetector({time, metrics}));
  const client = store.add(
    createControlClient({
      metrics,
      deployment: () => policies.newest()?.policy.deployment ?? '',
    }),
  );
  const keys = store.add(
    createKeyParts({settings, policies, fleet, time, metrics, stateDump}),
  );
  const control = store.add(
    createControlPlane({
      settings,
      client,
      policyStore: policies,
      fleetView: fleet,
      freshness,
      pauseDetector,
      viewConfirmer: keys.confirmer,
      keyHandOverReceiver: keys.handOverReceiver,
      metrics,
      logger,
      stateDump,
      time,
    }),
  );
  const readiness = new (class extends Readiness {
    override waitingFor(): readonly string[] {
      const missing: string[] = [];
      if (policies.inForce() === undefined) missing.push('policy');
      if (fleet.list() === undefined) missing.push('host-list');
      if (phase.current !== 'serving') missing.push(phase.current);
      return missing;
    }
  })();
  const admin = createAdminServer({
    listen: settings.listen.admin,
    settings,
    stateDump,
    metrics,
    policyStore: policies,
    readiness,
  });
  return {policies, fleet, client, pauseDetector, keys, control, admin};
}

/**
 * Opens the control side after the data path, so that a host that announces
 * itself as serving can already be called.
 */
async function startControl(
  options: NodeOptions,
  parts: NodeParts,
  dataPath: DataPath,
  store: DisposableStore,
  phase: NodePhase,
): Promise<ListenerPorts> {
  const control = await parts.control.start();
  const admin = await parts.admin.open();
  const {hostName, service} = options.settings;
  const leaseTask = Effect.runFork(
    runViewLease({
      ...parts,
      hostName,
      service,
      lease: parts.keys.lease,
      metrics: options.metrics,
    }),
  );
  store.add(
    toDisposable(() => {
      Effect.runFork(Fiber.interrupt(leaseTask));
    }),
  );
  await Effect.runPromise(parts.control.announce('serving'));
  const readyTask = Effect.runFork(becomeReady(parts.control, phase));
  store.add(
    toDisposable(() => {
      Effect.runFork(Fiber.interrupt(readyTask));
    }),
  );
  return {
    caller: dataPath.callerPort,
    local: dataPath.localPort,
    peer: dataPath.peerPort,
    control,
    admin,
  };
}

/**
 * Counts as ready only when the present peers know that this host serves; the
 * wait is bounded. At the first announcement no stream may be open. Were the
 * node ready by then, a rollout would stop the next host of the service while
 * peers still take this one for stopped, and they would answer `no-host`.
 */
function becomeReady(
  control: ControlPlane,
  phase: NodePhase,
): Effect.Effect<void> {
  return control.awaitFirstPicture().pipe(
    Effect.flatMap(() => control.announce('serving')),
    Effect.map(() => {
      if (phase.current === 'starting') phase.current = 'serving';
    }),
  );
}

/**
 * Leaves without cutting off a request: peers are told first and stop sending,
 * callers are answered, executions end, key records move to their successors,
 * and only then, after peers know that this host has stopped, connections
 * close.
 */
async function drain(
  options: NodeOptions,
  parts: NodeParts,
  dataPath: DataPath,
  incarnationMillis: number,
): Promise<void> {
  const {logger, settings, metrics, time} = options;
  const drainMillis =
    parts.policies.inForce()?.policy.timing.drainMillis ?? DEFAULT_DRAIN_MILLIS;
  logger.info('drain-started');
  await Effect.runPromise(parts.control.announce('draining'));
  dataPath.startDraining();
  await settle();
  const deadlineMillis = time.monotonicMillis() + drainMillis;
  await dataPath.closeCallers(drainMillis);
  await dataPath.awaitExecutions(deadlineMillis - time.monotonicMillis());
  const report = await Effect.runPromise(
    handOverKeys({
      ...parts,
      hostName: settings.hostName,
      owner: settings,
      incarnationMillis,
      keyRecords: parts.keys.records,
      records: parts.keys.kept,
      lease: parts.keys.lease,
      takeover: parts.keys.takeover,
      timeSource: time,
      metrics,
    }),
  );
  logger.info('key-records-handed-over', {...report});
  await Effect.runPromise(parts.control.announce('stopped'));
  await settle();
  logger.info('drain-finished');
}

function settle(): Promise<void> {
  return Effect.runPromise(Effect.sleep(SETTLE_MILLIS));
}
