/**
 * When a seed stands in for hosts of the list.
 */
import test from 'ava';
import {createPeerChooser} from '../../../src/connection/peer_chooser.js';
import {createPeerSuspicion} from '../../../src/connection/peer_suspicion.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import type {PeerSlot} from '../../../src/process/peer_selection.js';
import {createHostListBytes} from '../../fakes/control_nodes.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const SEEDS = ['seed-1', 'seed-2'].map(hostName => ({
  hostName,
  address: '127.0.0.1',
  controlPort: 1,
}));
const RANDOM: PeerSlot = {kind: 'zone-random', index: 1};

function createFixture() {
  const time = createManualTimeSource();
  const fleetView = createFleetView({metrics: createCountingMetrics(), time});
  const suspicion = createPeerSuspicion(time);
  const inbound = new Set<string>();
  const chooser = createPeerChooser({
    own: {hostName: 'own', availabilityZone: 'zone-a', region: 'region-1'},
    remotePeersCount: 1,
    seedPeers: SEEDS,
    fleetView,
    suspicion,
    isLinkedInbound: hostName => inbound.has(hostName),
  });
  const hosts = ['own', 'h-1', 'h-2'].map((hostName, index) => ({
    hostName,
    port: 2000 + index,
  }));
  fleetView.offerList(createHostListBytes(1, hosts), 'test');
  return {chooser, suspicion, inbound};
}

test('a seed that stands in for suspect hosts is kept', t => {
  // Symptom: a node opens and closes streams hundreds of times a second.
  // Sequence: the listed hosts are suspect, a seed takes the slot; the next
  // look at the choice does not find the seed on the list, takes another one,
  // and the look after that goes back.
  // Cause: the current peer counts only if it is among the listed candidates.
  const {chooser, suspicion} = createFixture();
  for (const hostName of ['h-1', 'h-2']) suspicion.mark(hostName);
  const first = chooser.choose(RANDOM, undefined);
  t.is(first?.hostName, 'seed-1');
  if (first === undefined) return;
  chooser.claim(first);
  t.is(chooser.choose(RANDOM, first)?.hostName, 'seed-1');
});

test('a listed host that is well again replaces a seed', t => {
  const {chooser, suspicion} = createFixture();
  for (const hostName of ['h-1', 'h-2']) suspicion.mark(hostName);
  const seed = chooser.choose(RANDOM, undefined);
  suspicion.clear('h-2');
  t.is(chooser.choose(RANDOM, seed)?.hostName, 'h-2');
});

test('no seed stands in for hosts that already have a stream to this node', t => {
  // Symptom: as above, in a zone whose hosts are all joined by streams.
  // Sequence: every listed host has a stream to this node, so none is free.
  // Cause: no free host is taken for no reachable host.
  const {chooser, inbound} = createFixture();
  for (const hostName of ['h-1', 'h-2']) inbound.add(hostName);
  t.is(chooser.choose(RANDOM, undefined), undefined);
});
