/**
 * Wiring of the path of requests between its listeners and its clients.
 */
import type {DisposableStore} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {PeerClient} from '../connection/peer_client.js';
import {createHttpPeerClient} from '../connection/peer_client.js';
import type {UpstreamClient} from '../connection/upstream_client.js';
import {createHttpUpstreamClient} from '../connection/upstream_client.js';
import type {AdmissionController} from '../process/admission_controller.js';
import type {FleetView} from '../process/fleet_view.js';
import type {HostRoutingState} from '../process/host_selector.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {Settings} from '../process/settings.js';
import type {JsonValue, StateDump} from '../process/state_dump.js';
import type {Callee} from '../request/callee.js';
import {createCallee} from '../request/callee.js';
import type {Entry} from '../request/entry.js';
import {createEntry} from '../request/entry.js';
import {createGuardedExecution} from '../request/guarded_execution.js';
import type {InProgressRequests} from '../request/in_progress.js';
import {createInProgressRequests} from '../request/in_progress.js';
import {createKeyedExecution} from '../request/keyed_execution.js';
import {createOutboundCalls} from '../request/outbound_call.js';
import type {PeerEntry} from '../request/peer_entry.js';
import {createPeerEntry} from '../request/peer_entry.js';
import type {CompiledPolicy} from '../version/policy.js';
import type {Decisions, DecisionsFactory} from './decisions.js';
import {configureDecisions, createDecisions} from './decisions.js';
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
  readonly createDecisions?: DecisionsFactory | undefined;
}

/** The connected parts that listeners hand requests to. */
export interface DataPathParts {
  readonly admission: AdmissionController;
  readonly entry: Entry;
  readonly peerEntry: PeerEntry;
  /** Calls that the local upstream executes or that wait for it. */
  executingCount(): number;
}

/** Connections to other processes. */
interface Clients {
  readonly upstream: UpstreamClient;
  readonly peers: PeerClient;
}

/** Creates and connects the parts; the store owns what they hold. */
export function createDataPathParts(
  options: DataPathOptions,
  store: DisposableStore,
): DataPathParts {
  const random = Math.random;
  const create = options.createDecisions ?? createDecisions;
  const decisions = create({...options, random});
  const clients = createClients(options.settings, store);
  const inProgress = createInProgressRequests();
  const callee = createLocalCallee(options, decisions, clients, inProgress);
  const entry = createEntry({
    hostName: options.settings.hostName,
    policies: options.policies,
    calls: createOutboundCalls({
      hostName: options.settings.hostName,
      callee,
      peers: clients.peers,
      fleet: options.fleet,
      selector: decisions.selector,
      keys: options.keys.directory,
      budget: decisions.budget,
      time: options.time,
      metrics: options.metrics,
    }),
    inProgress,
    createGrant: decisions.createGrant,
    throttle: decisions.throttle,
    time: options.time,
    metrics: options.metrics,
    requestsCount: options.settings.limits.requestsInProgressCount,
    random,
  });
  const peerEntry = createPeerEntry({
    hostName: options.settings.hostName,
    service: options.settings.service,
    callee,
    admission: decisions.admission,
    policies: options.policies,
    metrics: options.metrics,
  });
  followPolicy(options, decisions, clients.upstream, store);
  registerState(options.stateDump, {decisions, entry, inProgress}, store);
  const {admission} = decisions;
  return {
    admission,
    entry,
    peerEntry,
    executingCount: () => {
      const {inFlightCount, queuedCount} = admission.load();
      return inFlightCount + queuedCount;
    },
  };
}

function createClients(settings: Settings, store: DisposableStore): Clients {
  const {idleConnectionMillis, socketsPerPeerCount} = settings.limits;
  return {
    upstream: store.add(
      createHttpUpstreamClient({
        hostName: settings.hostName,
        upstream: settings.upstream,
        idleMillis: idleConnectionMillis,
      }),
    ),
    peers: store.add(
      createHttpPeerClient({
        socketsPerPeerCount,
        idleMillis: idleConnectionMillis,
      }),
    ),
  };
}

/** The side that answers calls for the upstream on this host. */
function createLocalCallee(
  options: DataPathOptions,
  decisions: Decisions,
  clients: Clients,
  inProgress: InProgressRequests,
): Callee {
  const {settings, policies, keys, time, metrics} = options;
  const {hostName, service} = settings;
  const execution = createGuardedExecution({
    hostName,
    admission: decisions.admission,
    upstream: clients.upstream,
    inProgress,
    time,
    metrics,
  });
  const keyedExecution = createKeyedExecution({
    hostName,
    records: keys.records,
    execution,
  });
  return createCallee({
    hostName,
    service,
    policies,
    execution,
    keyedExecution,
    createGrant: decisions.createGrant,
    deadlineOf: decisions.deadlineOf,
  });
}

/** Applies the newest policy now and each later one as it is accepted. */
function followPolicy(
  options: DataPathOptions,
  decisions: Decisions,
  upstream: UpstreamClient,
  store: DisposableStore,
): void {
  const {policies, settings} = options;
  const apply = (compiled: CompiledPolicy): void => {
    configureDecisions(decisions, compiled, settings.service);
    const service = compiled.findService(settings.service);
    if (service !== undefined) {
      upstream.setConnectionsCount(service.connectionsCount);
    }
  };
  store.add(policies.onDidAccept(apply));
  const known = policies.newest();
  if (known !== undefined) apply(known);
}

/** Parts that have something to show in a state dump. */
interface VisibleParts {
  readonly decisions: Decisions;
  readonly entry: Entry;
  readonly inProgress: InProgressRequests;
}

function registerState(
  stateDump: StateDump,
  {decisions, entry, inProgress}: VisibleParts,
  store: DisposableStore,
): void {
  const {admission, selector} = decisions;
  store.add(
    stateDump.register('requests', () => ({
      enteredCount: entry.count(),
      executingCount: inProgress.count(),
    })),
  );
  store.add(stateDump.register('admission', () => ({...admission.load()})));
  store.add(
    stateDump.register('routing', () => selector.states().map(describeHost)),
  );
}

function describeHost(state: HostRoutingState): JsonValue {
  return {...state, load: state.load ? {...state.load} : null};
}
