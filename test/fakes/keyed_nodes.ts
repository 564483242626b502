/**
 * Nodes of one availability zone that share keyed work, joined by direct calls
 * instead of connections, each with clocks of its own.
 */
import type {KeyHandOverReceiver} from '../../src/connection/control_handlers.js';
import type {StoppableKeyRecords} from '../../src/process/in_memory_key_records.js';
import {createKeyRecords} from '../../src/process/in_memory_key_records.js';
import {createKeyHandOverReceiver} from '../../src/connection/key_hand_over_receiver.js';
import {ViewedKeyDirectory} from '../../src/process/key_home.js';
import type {KeyDecision} from '../../src/process/key_records.js';
import type {KeyTakeover} from '../../src/process/key_takeover.js';
import {createKeyTakeover} from '../../src/process/key_takeover.js';
import type {KeyView} from '../../src/process/key_view.js';
import {createKeyView} from '../../src/process/key_view.js';
import type {KeptRecords} from '../../src/process/kept_records.js';
import {createKeptRecords} from '../../src/process/kept_records.js';
import type {ViewAcceptor} from '../../src/process/view_acceptor.js';
import {createViewAcceptor} from '../../src/process/view_acceptor.js';
import type {ViewLease} from '../../src/process/view_lease.js';
import {createViewLease} from '../../src/process/view_lease.js';
import type {HostList, PublishedHost} from '../../src/version/host_list.js';
import {createCountingMetrics} from './counting_metrics.js';
import type {ManualTimeSource} from './manual_time_source.js';
import {createPolicyWith} from './policy_documents.js';

/** Rules under which the nodes run. */
export const KEY_RULES = {
  windowMillis: 10_000,
  recordsCount: 100,
  answerBytes: 1_000,
  leaseMillis: 1_500,
  clockBoundMillis: 200,
};

/** Time between two rounds of confirmations. */
export const ROUND_MILLIS = 500;

/** The service and zone of every host here. */
export const OWNER = {service: 'desk', availabilityZone: 'za'};

/** The policy all nodes hold. */
export const POLICY = createPolicyWith(draft => {
  draft.keys = KEY_RULES;
});

/** A list of hosts of one service in one availability zone. */
export function createZoneList(
  revision: number,
  names: readonly string[],
): HostList {
  const hosts = names.map((name): PublishedHost => ({
    name,
    ...OWNER,
    region: 'north',
    address: '127.0.0.1',
    peerPort: 1,
    controlPort: 1,
    state: 'live',
  }));
  return {revision, hosts};
}

/** The view that a node builds of a list. */
export function createZoneView(list: HostList): KeyView {
  return createKeyView(POLICY, list, OWNER);
}

/** How a lease is made; replaced to show what goes wrong without one. */
export type LeaseFactory = typeof createViewLease;

/** One incarnation of a node. */
export interface KeyedNode {
  readonly name: string;
  readonly clock: ManualTimeSource;
  readonly acceptor: ViewAcceptor;
  readonly lease: ViewLease;
  readonly takeover: KeyTakeover;
  readonly kept: KeptRecords;
  readonly records: StoppableKeyRecords;
  readonly receiver: KeyHandOverReceiver;
  list(): HostList;
  /** Takes a list if it is newer. */
  offerList(list: HostList): void;
  begin(key: string, body?: string): KeyDecision;
}

/** Starts a node that holds a list. */
export function startKeyedNode(
  name: string,
  clock: ManualTimeSource,
  startList: HostList,
  createLease: LeaseFactory = createViewLease,
): KeyedNode {
  let list = startList;
  let view = createZoneView(list);
  const currentView = () => view;
  const acceptor = createViewAcceptor({currentView, timeSource: clock});
  const lease = createLease({
    hostName: name,
    currentView,
    acceptor,
    timeSource: clock,
  });
  const {service} = OWNER;
  const takeover = createKeyTakeover({
    hostName: name,
    service,
    timeSource: clock,
  });
  lease.onDidAcquire(acquisition => {
    takeover.recordAcquisition(acquisition);
  });
  const kept = createKeptRecords();
  const metrics = createCountingMetrics();
  const directory = new (class extends ViewedKeyDirectory {
    override currentView = currentView;
    override homeOf(key: string): string | undefined {
      return view.homeOf(key, service);
    }
  })();
  const records = createKeyRecords({
    hostName: name,
    service,
    directory,
    lease,
    takeover,
    records: kept,
    timeSource: clock,
    metrics,
  });
  return {
    name,
    clock,
    acceptor,
    lease,
    takeover,
    kept,
    records,
    receiver: createKeyHandOverReceiver({
      records: kept,
      takeover,
      timeSource: clock,
      metrics,
      keyPolicy: () => KEY_RULES,
    }),
    list: () => list,
    offerList: offered => {
      if (offered.revision <= list.revision) return;
      list = offered;
      view = createZoneView(list);
    },
    begin: (key, body = 'body') =>
      records.begin({key, fingerprint: Buffer.from(body)}),
  };
}

/** Finds the node that a request for confirmation reaches, if any. */
export type Transport = (from: string, to: string) => KeyedNode | undefined;

/**
 * Asks every elector once; returns the confirmations, to be noted when they
 * arrive. An elector with a newer list passes it on, as a pull would.
 */
export function askElectors(node: KeyedNode, transport: Transport): () => void {
  const round = node.lease.beginRound();
  const confirmedNames = (round?.electors ?? []).filter(name => {
    const elector = transport(node.name, name);
    if (elector === undefined || round === undefined) return false;
    const {isCurrent} = elector.acceptor.accept(round.view);
    if (!isCurrent) node.offerList(elector.list());
    return isCurrent;
  });
  return () => {
    for (const name of confirmedNames) round?.confirm(name);
  };
}
