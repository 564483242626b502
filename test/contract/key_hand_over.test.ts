/**
 * A hand-over of records and a confirmation between two nodes over the control
 * protocol itself.
 */
import * as Effect from 'effect/Effect';
import test from 'ava';
import {createAcceptingViewConfirmer} from '../../src/connection/accepting_view_confirmer.js';
import {createControlClient} from '../../src/connection/connect_control_client.js';
import type {ExchangeHandler} from '../../src/connection/control_handlers.js';
import {createControlServer} from '../../src/connection/control_server.js';
import {handOverKeys} from '../../src/connection/key_hand_over.js';
import type {FleetView} from '../../src/process/fleet_view.js';
import type {PolicyStore} from '../../src/process/policy_store.js';
import {createCountingMetrics} from '../fakes/counting_metrics.js';
import type {KeyedNode} from '../fakes/keyed_nodes.js';
import {
  createZoneList,
  createZoneView,
  OWNER,
  POLICY,
  startKeyedNode,
} from '../fakes/keyed_nodes.js';
import {createManualTimeSource} from '../fakes/manual_time_source.js';

const POLICIES = {newest: () => ({policy: POLICY})} as unknown as PolicyStore;
const LIST = createZoneList(1, ['h1', 'h2']);
const RECORDS_COUNT = 70;

/** Two nodes past their start that confirm each other's view. */
function startSettledNodes(): readonly [KeyedNode, KeyedNode] {
  const clock = createManualTimeSource();
  const first = startKeyedNode('h1', clock, LIST);
  const second = startKeyedNode('h2', clock, LIST);
  const renew = (node: KeyedNode, other: KeyedNode): void => {
    const round = node.lease.beginRound();
    if (round === undefined) return;
    if (other.acceptor.accept(round.view).isCurrent) round.confirm(other.name);
  };
  for (let step = 0; step < 40; step += 1) {
    clock.advance(1_000);
    renew(first, second);
    renew(second, first);
  }
  return [first, second];
}

test('records, count and placement survive the way to the successor', async t => {
  const metrics = createCountingMetrics();
  const [first, second] = startSettledNodes();
  const server = await createControlServer({
    listen: {address: '127.0.0.1', port: 0},
    deployment: () => POLICY.deployment,
    fleetView: {} as FleetView,
    policyStore: POLICIES,
    viewConfirmer: createAcceptingViewConfirmer(second.acceptor),
    exchangeHandler: {} as ExchangeHandler,
    keyHandOverReceiver: second.receiver,
    metrics,
  });
  const client = createControlClient({
    metrics,
    deployment: () => POLICY.deployment,
  });
  t.teardown(() => {
    client.dispose();
    server.dispose();
  });
  const hosts = LIST.hosts.map(host => ({...host, controlPort: server.port}));
  const peer = {...hosts[1]!, hostName: 'h2'};
  const view = createZoneView(LIST);
  const confirmation = await Effect.runPromise(
    client.confirmView(peer, {
      hostName: 'h1',
      policyVersion: BigInt(view.policyVersion),
      hostListRevision: BigInt(view.listRevision),
    }),
  );
  t.like(confirmation, {isCurrent: true, hostListRevision: 1n});

  const keys = keysOf('h1').slice(0, RECORDS_COUNT + 1);
  const unseen = keys.pop() ?? '';
  for (const key of keys) execute(first, key);
  const report = await Effect.runPromise(
    handOverKeys({
      hostName: 'h1',
      owner: OWNER,
      incarnationMillis: 1,
      policies: POLICIES,
      fleet: {list: () => ({...LIST, hosts})} as unknown as FleetView,
      client,
      keyRecords: first.records,
      records: first.kept,
      lease: first.lease,
      takeover: first.takeover,
      timeSource: first.clock,
      metrics,
    }),
  );
  t.deepEqual(report, {reachedCount: 1, failedCount: 0, isComplete: true});

  second.offerList(createZoneList(2, ['h2']));
  for (let round = 0; round < 9; round += 1) {
    second.lease.beginRound();
    second.clock.advance(500);
  }
  t.is(second.begin(unseen).kind, 'run');
  for (const key of keys) {
    const decision = second.begin(key);
    const isReplayed = decision.kind === 'replay';
    t.true(isReplayed && decision.answer.statusCode === 201, decision.kind);
    if (isReplayed) t.is(Buffer.from(decision.answer.body).toString(), key);
  }
});

/** Keys whose home is the given host. */
function keysOf(name: string): string[] {
  const view = createZoneView(LIST);
  return Array.from(
    {length: 1_000},
    (_, number) => `za.opaque-${String(number)}`,
  ).filter(key => view.homeOf(key, OWNER.service) === name);
}

function execute(node: KeyedNode, key: string): void {
  const decision = node.begin(key);
  if (decision.kind !== 'run') throw new Error(`Decided ${decision.kind}.`);
  const headers = [['content-type', 'text/plain']] as const;
  const body = Buffer.from(key);
  decision.finish({kind: 'ran', answer: {statusCode: 201, headers, body}});
}
