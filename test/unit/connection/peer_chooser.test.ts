/**
 * Which peer a stream goes to as hosts fail, leave and come back.
 */
import test from 'ava';
import {createPeerChooser} from '../../../src/connection/peer_chooser.js';
import {createPeerSuspicion} from '../../../src/connection/peer_suspicion.js';
import type {HostPhase} from '../../../src/process/fleet_view.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import type {PeerSlot} from '../../../src/process/peer_selection.js';
import {orderCandidates} from '../../../src/process/peer_selection.js';
import {createHostListBytes} from '../../fakes/control_nodes.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const OWN = {hostName: 'own', availabilityZone: 'zone-a', region: 'region-1'};
const RING: PeerSlot = {kind: 'zone-ring'};
const RANDOM: PeerSlot = {kind: 'zone-random', index: 1};
const REMOTE: PeerSlot = {kind: 'remote', index: 0};
const SEEDS = ['seed-1', 'seed-2'].map(hostName => ({
  hostName,
  address: '127.0.0.1',
  controlPort: 1,
}));
const NAMES = ['own', 'h-1', 'h-2', 'h-3'];

function createChooser(names: readonly string[] | undefined) {
  const time = createManualTimeSource();
  const fleetView = createFleetView({metrics: createCountingMetrics(), time});
  const suspicion = createPeerSuspicion(time);
  const inbound = new Set<string>();
  const chooser = createPeerChooser({
    own: OWN,
    remotePeersCount: 1,
    seedPeers: SEEDS,
    fleetView,
    suspicion,
    isLinkedInbound: hostName => inbound.has(hostName),
  });
  if (names !== undefined) {
    const hosts = names.map((hostName, index) => ({
      hostName,
      port: 2000 + index,
    }));
    fleetView.offerList(createHostListBytes(1, hosts), 'test');
  }
  const ring = orderCandidates(RING, OWN, fleetView, 1).map(
    candidate => candidate.known.host.name,
  );
  const announce = (hostName: string, sequence: number, phase: HostPhase) =>
    fleetView.mergeStatuses([
      {hostName, incarnationMillis: 1, sequence, phase},
    ]);
  return {chooser, suspicion, inbound, ring, time, announce};
}

test('before any list the seeds are tried, the least suspect first', t => {
  const {chooser, suspicion} = createChooser(undefined);
  t.is(chooser.choose(RING, undefined)?.hostName, 'seed-1');
  suspicion.mark('seed-1');
  t.is(chooser.choose(RING, undefined)?.hostName, 'seed-2');
  suspicion.mark('seed-2');
  t.not(chooser.choose(RING, undefined), undefined);
});

test('two streams do not go to the same peer', t => {
  const {chooser} = createChooser(undefined);
  const first = chooser.choose(RING, undefined);
  t.not(first, undefined);
  if (first !== undefined) chooser.claim(first);
  t.is(chooser.choose(RANDOM, undefined)?.hostName, 'seed-2');
});

/*
 * Symptom: a zone's ring stays broken, or a node clings to a dead peer.
 * Events: the next host on the ring fails, leaves, or comes back.
 * Cause: a choice that is not looked at again.
 */
test('the ring skips a suspect and returns to it afterwards', t => {
  const {chooser, suspicion, ring, time} = createChooser(NAMES);
  const [next = '', second = ''] = ring;
  t.is(chooser.choose(RING, undefined)?.hostName, next);
  suspicion.mark(next);
  const substitute = chooser.choose(RING, undefined);
  t.is(substitute?.hostName, second);
  t.is(chooser.choose(RING, substitute)?.hostName, second);
  time.advance(10_001);
  t.is(chooser.choose(RING, substitute)?.hostName, next);
});

test('a peer that announces its drain is replaced', t => {
  const {chooser, ring, announce} = createChooser(NAMES);
  const current = chooser.choose(RING, undefined);
  announce(ring[0] ?? '', 1, 'draining');
  t.is(chooser.choose(RING, current)?.hostName, ring[1]);
});

test('a stream to some host stays although the list offers others', t => {
  const {chooser} = createChooser(NAMES);
  for (const hostName of ['h-1', 'h-2', 'h-3']) {
    const current = {hostName, address: '127.0.0.1', controlPort: 2000};
    t.is(chooser.choose(RANDOM, current)?.hostName, hostName);
  }
});

test('a host with a stream to this node is no second path, but stays on the ring', t => {
  const {chooser, inbound, ring} = createChooser(NAMES);
  for (const hostName of ['h-1', 'h-2']) inbound.add(hostName);
  t.is(chooser.choose(RANDOM, undefined)?.hostName, 'h-3');
  t.is(chooser.choose(RING, undefined)?.hostName, ring[0]);
});

test('when all are suspect, a seed and then the least suspect are tried', t => {
  const {chooser, suspicion, time} = createChooser(NAMES);
  for (const hostName of ['h-1', 'h-2', 'h-3']) {
    suspicion.mark(hostName);
    time.advance(20_000);
    suspicion.mark(hostName);
    time.advance(1);
  }
  for (const hostName of ['h-1', 'h-2', 'h-3']) suspicion.mark(hostName);
  t.is(chooser.choose(RING, undefined)?.hostName, 'seed-1');
  for (const {hostName} of SEEDS) suspicion.mark(hostName);
  const chosen = chooser.choose(RING, undefined)?.hostName ?? '';
  for (const hostName of ['h-1', 'h-2', 'h-3']) {
    t.true(suspicion.untilMillis(chosen) <= suspicion.untilMillis(hostName));
  }
});

test('without another zone there is no remote peer', t => {
  t.is(createChooser(NAMES).chooser.choose(REMOTE, undefined), undefined);
});
