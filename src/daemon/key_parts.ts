/**
 * Wiring of duplicate suppression: which keys this host may execute and what
 * it remembers of them.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import {createAcceptingViewConfirmer} from '../connection/accepting_view_confirmer.js';
import type {
  KeyHandOverReceiver,
  ViewConfirmer,
} from '../connection/control_handlers.js';
import {createKeyHandOverReceiver} from '../connection/key_hand_over_receiver.js';
import type {FleetView} from '../process/fleet_view.js';
import type {StoppableKeyRecords} from '../process/in_memory_key_records.js';
import {createKeyRecords} from '../process/in_memory_key_records.js';
import type {KeptRecords} from '../process/kept_records.js';
import {createKeptRecords} from '../process/kept_records.js';
import type {ViewedKeyDirectory} from '../process/key_home.js';
import {createKeyDirectory} from '../process/key_home.js';
import type {KeyTakeover} from '../process/key_takeover.js';
import {createKeyTakeover} from '../process/key_takeover.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {Settings} from '../process/settings.js';
import type {StateDump} from '../process/state_dump.js';
import {createViewAcceptor} from '../process/view_acceptor.js';
import type {ViewLease} from '../process/view_lease.js';
import {createViewLease} from '../process/view_lease.js';

/** What the parts depend on. */
export interface KeyPartsOptions {
  readonly settings: Settings;
  readonly policies: PolicyStore;
  readonly fleet: FleetView;
  readonly time: TimeSource;
  readonly metrics: Metrics;
  readonly stateDump: StateDump;
}

/** Everything a node needs for keyed requests. */
export interface KeyParts extends Disposable {
  readonly directory: ViewedKeyDirectory;
  readonly lease: ViewLease;
  readonly takeover: KeyTakeover;
  readonly kept: KeptRecords;
  readonly records: StoppableKeyRecords;
  readonly confirmer: ViewConfirmer;
  readonly handOverReceiver: KeyHandOverReceiver;
}

/** Creates the parts and connects them. */
export function createKeyParts(options: KeyPartsOptions): KeyParts {
  const {settings, policies, fleet, time, metrics, stateDump} = options;
  const {hostName, service, availabilityZone} = settings;
  const store = createDisposableStore();
  const directory = createKeyDirectory({
    owner: {service, availabilityZone},
    policies,
    fleet,
  });
  const currentView = directory.currentView.bind(directory);
  const acceptor = createViewAcceptor({currentView, timeSource: time});
  const lease = store.add(
    createViewLease({hostName, currentView, acceptor, timeSource: time}),
  );
  const takeover = createKeyTakeover({hostName, service, timeSource: time});
  store.add(
    lease.onDidAcquire(acquisition => {
      takeover.recordAcquisition(acquisition);
    }),
  );
  const kept = createKeptRecords();
  const records = createKeyRecords({
    hostName,
    service,
    directory,
    lease,
    takeover,
    records: kept,
    timeSource: time,
    metrics,
  });
  store.add(
    stateDump.register('keys', () => ({
      isLeaseHeld: lease.heldView() !== undefined,
      isFullyExclusive: takeover.isFullyExclusive(),
      recordsCount: kept.count,
      runningCount: kept.runningCount,
      answersBytes: kept.answersBytes,
    })),
  );
  return {
    directory,
    lease,
    takeover,
    kept,
    records,
    confirmer: createAcceptingViewConfirmer(acceptor),
    handOverReceiver: createKeyHandOverReceiver({
      records: kept,
      takeover,
      timeSource: time,
      metrics,
      keyPolicy: () => policies.newest()?.policy.keys,
    }),
    dispose: () => {
      store.dispose();
    },
  };
}
