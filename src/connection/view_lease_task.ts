/**
 * Task that keeps the view lease: one round of confirmations after another.
 */
import * as Effect from 'effect/Effect';
import {createDisposableStore} from '../base/lifecycle.js';
import type {FleetView} from '../process/fleet_view.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import {orderElectors} from '../process/elector_order.js';
import type {ConfirmationRound, ViewLease} from '../process/view_lease.js';
import type {ConfirmViewResponse} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ControlClient, ControlPeer} from './control_client.js';

/** Rounds begun in the time of one lease, so that one may fail. */
const ROUNDS_PER_LEASE_COUNT = 3;

/** Parts of the time between rounds in which electors are asked. */
const WAVES_PER_ROUND_COUNT = 2;

/** Time until the next look for a policy and a list, while one is missing. */
const NO_VIEW_RETRY_MILLIS = 200;

/** What the task works with. */
export interface ViewLeaseTaskOptions {
  readonly hostName: string;
  readonly service: string;
  readonly lease: ViewLease;
  readonly policies: PolicyStore;
  readonly fleet: FleetView;
  readonly client: ControlClient;
  readonly metrics: Metrics;
}

/**
 * Renews the lease until interrupted. A host whose service takes no keys asks
 * nobody, so the cost grows only with the hosts that need the lease.
 */
export function runViewLease(
  options: ViewLeaseTaskOptions,
): Effect.Effect<never> {
  const silentElectors = new Set<string>();
  const step = Effect.suspend(() => {
    if (!takesKeys(options)) return Effect.sleep(NO_VIEW_RETRY_MILLIS);
    const round = options.lease.beginRound();
    if (round === undefined) return Effect.sleep(NO_VIEW_RETRY_MILLIS);
    return renew(round, silentElectors, options);
  });
  return Effect.forever(step);
}

/** Whether callers may send the own service keys. */
function takesKeys({policies, service}: ViewLeaseTaskOptions): boolean {
  const routes = policies.newest()?.findService(service)?.routes ?? [];
  return routes.some(route => route.isKeyRequired || route.repeat === 'never');
}

/** One round, then a pause until the next is due or the view has changed. */
function renew(
  round: ConfirmationRound,
  silentElectors: Set<string>,
  options: ViewLeaseTaskOptions,
): Effect.Effect<void> {
  const intervalMillis = round.view.keys.leaseMillis / ROUNDS_PER_LEASE_COUNT;
  const pause = Effect.race(
    Effect.sleep(intervalMillis),
    awaitViewChange(round, options),
  );
  const asks = askElectors(
    round,
    silentElectors,
    intervalMillis / WAVES_PER_ROUND_COUNT,
    options,
  );
  return Effect.all([asks, pause], {concurrency: 2, discard: true});
}

/**
 * Asks as many electors as a quorum needs, those that were silent last; the
 * others only if the first ones do not suffice, because each ask costs CPU time
 * on both sides.
 */
function askElectors(
  round: ConfirmationRound,
  silentElectors: Set<string>,
  timeoutMillis: number,
  options: ViewLeaseTaskOptions,
): Effect.Effect<void> {
  const askAll = (names: readonly string[]): Effect.Effect<void> =>
    Effect.forEach(
      names,
      name =>
        Effect.map(ask(name, round, timeoutMillis, options), isConfirmed => {
          if (isConfirmed) silentElectors.delete(name);
          else silentElectors.add(name);
        }),
      {concurrency: 'unbounded', discard: true},
    );
  for (const name of silentElectors) {
    if (!round.electors.includes(name)) silentElectors.delete(name);
  }
  const ordered = orderElectors(
    options.hostName,
    round.electors,
    silentElectors,
  );
  const missingCount = round.missingCount();
  const first = askAll(ordered.slice(0, missingCount));
  const others = Effect.suspend(() =>
    round.missingCount() === 0
      ? Effect.void
      : askAll(ordered.slice(missingCount)),
  );
  return Effect.andThen(first, others);
}

/** Asks one elector; true if it confirmed. */
function ask(
  electorName: string,
  round: ConfirmationRound,
  timeoutMillis: number,
  options: ViewLeaseTaskOptions,
): Effect.Effect<boolean> {
  const {fleet, client, metrics, hostName} = options;
  const host = fleet.host(electorName)?.host;
  if (host === undefined) return Effect.succeed(false);
  const peer: ControlPeer = {
    hostName: host.name,
    address: host.address,
    controlPort: host.controlPort,
  };
  const request = {
    hostName,
    policyVersion: BigInt(round.view.policyVersion),
    hostListRevision: BigInt(round.view.listRevision),
  };
  return client.confirmView(peer, request, timeoutMillis).pipe(
    Effect.flatMap(response => {
      const result = response.isCurrent ? 'confirmed' : 'denied';
      metrics.increment('keys.confirmations', {result});
      if (response.isCurrent) round.confirm(electorName);
      return Effect.as(
        fetchNewer(response, peer, round, timeoutMillis, options),
        response.isCurrent,
      );
    }),
    Effect.catch(() =>
      Effect.sync(() => {
        metrics.increment('keys.confirmations', {result: 'failed'});
        return false;
      }),
    ),
  );
}

/** Fetches what the elector holds newer; the next round then asks for it. */
function fetchNewer(
  response: ConfirmViewResponse,
  peer: ControlPeer,
  {view}: ConfirmationRound,
  timeoutMillis: number,
  {client, policies, fleet}: ViewLeaseTaskOptions,
): Effect.Effect<void, unknown> {
  const policy =
    Number(response.policyVersion) > view.policyVersion
      ? client.fetchPolicy(peer, view.policyVersion, timeoutMillis).pipe(
          Effect.map(({document}) => {
            if (document.length > 0) policies.offer(document, peer.hostName);
          }),
        )
      : Effect.void;
  const list =
    Number(response.hostListRevision) > view.listRevision
      ? client.fetchHostList(peer, view.listRevision, timeoutMillis).pipe(
          Effect.map(({hostList}) => {
            if (hostList.length > 0) fleet.offerList(hostList, peer.hostName);
          }),
        )
      : Effect.void;
  return Effect.all([policy, list], {discard: true});
}

/** Ends when a newer policy or list than the round's is held. */
function awaitViewChange(
  {view}: ConfirmationRound,
  {policies, fleet}: ViewLeaseTaskOptions,
): Effect.Effect<void> {
  return Effect.callback<undefined>(resume => {
    const subscriptions = createDisposableStore();
    const isNewer = (): boolean =>
      (policies.newest()?.version ?? 0) > view.policyVersion ||
      fleet.listRevision() > view.listRevision;
    // The clean-up that this function returns runs on interruption only; a
    // subscription would stay behind with every change of the view.
    const check = (): void => {
      if (!isNewer()) return;
      subscriptions.dispose();
      resume(Effect.succeed(undefined));
    };
    subscriptions.add(policies.onDidAccept(check));
    subscriptions.add(fleet.onDidChangeList(check));
    check();
    return Effect.sync(() => {
      subscriptions.dispose();
    });
  });
}
