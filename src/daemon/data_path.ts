/**
 * Wiring of the path of requests: listeners, decisions and clients.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {
  HttpListener,
  HttpListenerOptions,
  MalformedKind,
} from '../connection/http_listener.js';
import {openHttpListener} from '../connection/http_listener.js';
import {createHttpPeerClient} from '../connection/peer_client.js';
import {createHttpUpstreamClient} from '../connection/upstream_client.js';
import type {AdmissionConfig} from '../process/admission_controller.js';
import type {FleetView} from '../process/fleet_view.js';
import {createHostSelector} from '../process/load_aware_selector.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import {createAdmissionController} from '../process/priority_admission.js';
import type {ListenAddress, Settings} from '../process/settings.js';
import type {StateDump} from '../process/state_dump.js';
import {createRetryBudget} from '../process/token_bucket_retry_budget.js';
import {createCallee} from '../request/callee.js';
import {createEntry} from '../request/entry.js';
import {rawFailureAnswer} from '../request/entry_answer.js';
import {rejectEntry} from '../request/entry_request.js';
import {createGuardedExecution} from '../request/guarded_execution.js';
import {createInProgressRequests} from '../request/in_progress.js';
import {createKeyedExecution} from '../request/keyed_execution.js';
import {createOutboundCalls} from '../request/outbound_call.js';
import {createPeerEntry} from '../request/peer_entry.js';
import type {CompiledPolicy} from '../version/policy.js';
import type {KeyParts} from './key_parts.js';

/** What the data path depends on. */
export interface DataPathOptions {
  readonly settings: Settings;
  readonly policies: PolicyStore;
  readonly fleet: FleetView;
  readonly keys: KeyParts;
  readonly time: TimeSource;
  readonly metrics: Metrics;
  readonly stateDump: StateDump;
}

/** The open data path of a node. */
export interface DataPath extends Disposable {
  readonly callerPort: number;
  readonly localPort: number;
  readonly peerPort: number;
  /**
   * Refuses new calls to the local upstream and asks clients on open
   * connections to go elsewhere after their answer.
   */
  startDraining(): void;
  /** Stops accepting callers and waits for their answers. */
  closeCallers(graceMillis: number): Promise<void>;
  /** Waits until the local upstream executes nothing. */
  awaitExecutions(graceMillis: number): Promise<void>;
  /** Closes all listeners that are still open. */
  close(): Promise<void>;
}

/** Refuses all calls until a policy tells the upstream's slots. */
const INITIAL_ADMISSION: AdmissionConfig = {
  slotsCount: 1,
  queueCount: 1,
  queueWaitMillis: 1,
  reservedRatios: [0],
  retryAfterMinimumMillis: 1000,
  retryAfterMaximumMillis: 5000,
};
const INITIAL_RETRY_RATIO = 0;
const INITIAL_RETRIES_PER_SECOND = 0;

/** Opens the listeners; on failure everything opened is closed again. */
export async function openDataPath(
  options: DataPathOptions,
): Promise<DataPath> {
  const {settings} = options;
  const store = createDisposableStore();
  const parts = createParts(options, store);
  const listeners = new Set<HttpListener>();
  const open = async (
    name: string,
    listen: ListenAddress,
    connectionsCount: number,
    handle: HttpListenerOptions['handle'],
  ): Promise<HttpListener> => {
    const listener = await openHttpListener({
      name,
      listen,
      connectionsCount,
      headerBytes: settings.limits.headerBytes,
      idleMillis: settings.limits.idleConnectionMillis,
      metrics: options.metrics,
      handle,
      describeMalformed: kind => describeMalformed(kind, settings.hostName),
    });
    listeners.add(listener);
    return listener;
  };
  const close = async (
    listener: HttpListener,
    graceMillis: number,
  ): Promise<void> => {
    if (listeners.delete(listener)) await listener.close(graceMillis);
  };
  const closeAll = async (): Promise<void> => {
    await Promise.all([...listeners].map(listener => close(listener, 0)));
  };
  const {callerConnectionsCount, peerConnectionsCount} = settings.limits;
  try {
    const caller = await open(
      'caller',
      settings.listen.caller,
      callerConnectionsCount,
      parts.entry.handleCaller,
    );
    const local = await open(
      'local',
      settings.listen.local,
      callerConnectionsCount,
      parts.entry.handleLocal,
    );
    const peer = await open(
      'peer',
      settings.listen.peer,
      peerConnectionsCount,
      parts.peerEntry.handle,
    );
    return {
      callerPort: caller.port,
      localPort: local.port,
      peerPort: peer.port,
      startDraining: () => {
        parts.admission.startDraining();
        for (const listener of listeners) listener.startDraining();
      },
      closeCallers: graceMillis => close(caller, graceMillis),
      awaitExecutions: graceMillis =>
        waitUntil(() => parts.executingCount() === 0, graceMillis),
      close: closeAll,
      dispose: () => {
        store.dispose();
      },
    };
  } catch (error) {
    await closeAll();
    store.dispose();
    throw error;
  }
}

type Store = ReturnType<typeof createDisposableStore>;

function createParts(options: DataPathOptions, store: Store) {
  const {settings, policies, fleet, keys, time, metrics, stateDump} = options;
  const {hostName, service} = settings;
  const random = Math.random;
  const admission = createAdmissionController({
    config: INITIAL_ADMISSION,
    time,
    metrics,
    random,
  });
  const selector = createHostSelector({
    fleet,
    ownZone: settings.availabilityZone,
    ownRegion: settings.region,
    hostName,
    time,
    random,
    metrics,
  });
  const budget = createRetryBudget({
    ratio: INITIAL_RETRY_RATIO,
    minimumPerSecond: INITIAL_RETRIES_PER_SECOND,
    time,
  });
  const upstream = store.add(
    createHttpUpstreamClient({
      hostName,
      upstream: settings.upstream,
      idleMillis: settings.limits.idleConnectionMillis,
    }),
  );
  const peers = store.add(
    createHttpPeerClient({
      socketsPerPeerCount: settings.limits.socketsPerPeerCount,
      idleMillis: settings.limits.idleConnectionMillis,
    }),
  );
  const inProgress = createInProgressRequests();
  const execution = createGuardedExecution({
    hostName,
    admission,
    upstream,
    inProgress,
    time,
    metrics,
  });
  const keyedExecution = createKeyedExecution({
    hostName,
    records: keys.records,
    execution,
  });
  const callee = createCallee({
    hostName,
    service,
    policies,
    execution,
    keyedExecution,
    time,
  });
  const calls = createOutboundCalls({
    hostName,
    callee,
    peers,
    fleet,
    selector,
    keys: keys.directory,
    budget,
    time,
    metrics,
  });
  const entry = createEntry({
    hostName,
    policies,
    calls,
    inProgress,
    time,
    metrics,
    requestsCount: settings.limits.requestsInProgressCount,
    random,
  });
  const peerEntry = createPeerEntry({
    hostName,
    service,
    callee,
    admission,
    policies,
    metrics,
  });
  const applyPolicy = ({policy}: CompiledPolicy): void => {
    selector.configure(policy.ejection, policy.timing);
    budget.configure(
      policy.retryBudget.ratio,
      policy.retryBudget.minimumPerSecond,
    );
    const own = policy.services.find(({name}) => name === service);
    if (own === undefined) return;
    upstream.setConnectionsCount(own.connectionsCount);
    admission.configure({
      slotsCount: own.slotsCount,
      queueCount: own.queueCount,
      queueWaitMillis: own.queueWaitMillis,
      reservedRatios: policy.classes.map(({reservedRatio}) => reservedRatio),
      retryAfterMinimumMillis: policy.timing.retryAfterMinimumMillis,
      retryAfterMaximumMillis: policy.timing.retryAfterMaximumMillis,
    });
  };
  store.add(policies.onDidAccept(applyPolicy));
  const known = policies.newest();
  if (known !== undefined) applyPolicy(known);
  store.add(
    stateDump.register('requests', () => ({
      enteredCount: entry.count(),
      executingCount: inProgress.count(),
    })),
  );
  store.add(stateDump.register('admission', () => ({...admission.load()})));
  store.add(
    stateDump.register('routing', () =>
      selector
        .states()
        .map(state => ({...state, load: state.load ? {...state.load} : null})),
    ),
  );
  const executingCount = (): number => {
    const {inFlightCount, queuedCount} = admission.load();
    return inFlightCount + queuedCount;
  };
  return {admission, entry, peerEntry, executingCount};
}

function describeMalformed(kind: MalformedKind, hostName: string): string {
  const {failure} = rejectEntry(
    'malformed-request',
    `The input is no valid HTTP/1.1 request (${kind}).`,
    hostName,
  );
  return rawFailureAnswer(failure);
}

const POLL_MILLIS = 10;

async function waitUntil(
  condition: () => boolean,
  limitMillis: number,
): Promise<void> {
  const deadlineMillis = performance.now() + limitMillis;
  while (!condition() && performance.now() < deadlineMillis) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLIS));
  }
}
