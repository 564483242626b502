/**
 * Connectedness of the graph that the choices of all nodes form, and readers.
 */
import test from 'ava';
import fc from 'fast-check';
import type {FleetView} from '../../../src/process/fleet_view.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import type {SelectingHost} from '../../../src/process/peer_selection.js';
import {
  createPeerSlots,
  orderCandidates,
} from '../../../src/process/peer_selection.js';
import {electReaders} from '../../../src/process/reader_election.js';
import {createHostListBytes} from '../../fakes/control_nodes.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

/** Hosts per zone, and how many regions the zones are spread over. */
interface FleetShape {
  readonly zoneSizes: readonly number[];
  readonly regionsCount: number;
  /** Makes the names, and with them all hashes, differ. */
  readonly seed: number;
}

const SHAPES = fc.record({
  zoneSizes: fc.array(fc.integer({min: 1, max: 20}), {
    minLength: 1,
    maxLength: 6,
  }),
  regionsCount: fc.integer({min: 1, max: 3}),
  seed: fc.integer({min: 0, max: 1_000_000}),
});

const TODAY_AT_LARGEST: FleetShape = {
  zoneSizes: Array.from({length: 10}, () => 83),
  regionsCount: 3,
  seed: 1,
};

function createFleet(shape: FleetShape): FleetView {
  const hosts = shape.zoneSizes.flatMap((size, zone) =>
    Array.from({length: size}, (_, index) => ({
      hostName: `h-${String(shape.seed)}-${String(zone)}-${String(index)}`,
      port: 10_000 + zone * 1000 + index,
      availabilityZone: `zone-${String(zone)}`,
      region: `region-${String(zone % shape.regionsCount)}`,
    })),
  );
  const metrics = createCountingMetrics();
  const view = createFleetView({metrics, time: createManualTimeSource()});
  const result = view.offerList(createHostListBytes(1, hosts), 'test');
  if (result.kind !== 'accepted') throw new Error(JSON.stringify(result));
  return view;
}

function hostsOf(view: FleetView): readonly SelectingHost[] {
  return (view.list()?.hosts ?? []).map(host => ({
    hostName: host.name,
    availabilityZone: host.availabilityZone,
    region: host.region,
  }));
}

interface PeerCounts {
  readonly zonePeersCount: number;
  readonly remotePeersCount: number;
}

/** The peers each host opens a stream to when all answer. */
function choosePeers(
  own: SelectingHost,
  view: FleetView,
  counts: PeerCounts,
): readonly string[] {
  const chosen: string[] = [];
  for (const slot of createPeerSlots(counts)) {
    const peer = orderCandidates(slot, own, view, counts.remotePeersCount)
      .map(candidate => candidate.known.host.name)
      .find(name => !chosen.includes(name));
    if (peer !== undefined) chosen.push(peer);
  }
  return chosen;
}

type Graph = ReadonlyMap<string, readonly string[]>;

function chooseAll(view: FleetView, counts: PeerCounts): Graph {
  return new Map(
    hostsOf(view).map(own => [own.hostName, choosePeers(own, view, counts)]),
  );
}

/** Whether every host of a set reaches every other over streams within it. */
function isConnected(graph: Graph, members: ReadonlySet<string>): boolean {
  const neighbours = new Map<string, string[]>();
  for (const [from, peers] of graph) {
    for (const to of peers) {
      if (!members.has(from) || !members.has(to)) continue;
      neighbours.set(from, [...(neighbours.get(from) ?? []), to]);
      neighbours.set(to, [...(neighbours.get(to) ?? []), from]);
    }
  }
  const [start] = members;
  const reached = new Set<string>(start === undefined ? [] : [start]);
  for (const hostName of reached) {
    for (const next of neighbours.get(hostName) ?? []) reached.add(next);
  }
  return reached.size === members.size;
}

function assertConnected(
  view: FleetView,
  graph: Graph,
  isExpected: (isHeld: boolean, what: string) => void,
): void {
  const hosts = hostsOf(view);
  const all = new Set(hosts.map(host => host.hostName));
  isExpected(isConnected(graph, all), 'whole fleet');
  for (const lost of new Set(hosts.map(host => host.availabilityZone))) {
    const rest = hosts.filter(host => host.availabilityZone !== lost);
    const names = new Set(rest.map(host => host.hostName));
    isExpected(isConnected(graph, names), `without ${lost}`);
    const zone = hosts.filter(host => host.availabilityZone === lost);
    const zoneNames = new Set(zone.map(host => host.hostName));
    isExpected(isConnected(graph, zoneNames), `${lost} alone`);
  }
}

const COUNTS: readonly PeerCounts[] = [
  {zonePeersCount: 1, remotePeersCount: 1},
  {zonePeersCount: 3, remotePeersCount: 2},
];

for (const counts of COUNTS) {
  test(`any fleet is connected, whole, without a zone and in each zone alone: ${JSON.stringify(counts)}`, t => {
    fc.assert(
      fc.property(SHAPES, shape => {
        const view = createFleet(shape);
        const graph = chooseAll(view, counts);
        assertConnected(view, graph, (isHeld, what) => {
          if (!isHeld) throw new Error(`Not connected: ${what}`);
        });
      }),
      {numRuns: 40, seed: 7},
    );
    t.pass();
  });
}

test('830 hosts in 10 zones and 3 regions: connected, few streams, short paths', t => {
  const view = createFleet(TODAY_AT_LARGEST);
  const graph = chooseAll(view, {zonePeersCount: 3, remotePeersCount: 1});
  assertConnected(view, graph, (isHeld, what) => {
    t.true(isHeld, what);
  });
  const inbound = new Map<string, number>();
  for (const peers of graph.values()) {
    t.is(peers.length, 4);
    for (const peer of peers) inbound.set(peer, (inbound.get(peer) ?? 0) + 1);
  }
  const mostInbound = Math.max(...inbound.values());
  t.true(mostInbound <= 16, 'below the bound on inbound streams');
  t.log(`most inbound streams: ${String(mostInbound)}`);
  const hops = longestPath(graph);
  t.true(hops <= 12);
  t.log(`hops from one host to all others: ${String(hops)}`);
});

/** Hops that a flood from the first host takes to reach the last. */
function longestPath(graph: Graph): number {
  const neighbours = new Map<string, Set<string>>();
  for (const [from, peers] of graph) {
    for (const to of peers) {
      neighbours.set(from, (neighbours.get(from) ?? new Set()).add(to));
      neighbours.set(to, (neighbours.get(to) ?? new Set()).add(from));
    }
  }
  const [start] = graph.keys();
  let front = new Set(start === undefined ? [] : [start]);
  const reached = new Set(front);
  let hops = 0;
  while (reached.size < graph.size) {
    const next = new Set<string>();
    for (const hostName of front) {
      for (const peer of neighbours.get(hostName) ?? []) {
        if (reached.has(peer)) continue;
        reached.add(peer);
        next.add(peer);
      }
    }
    if (next.size === 0) return Number.POSITIVE_INFINITY;
    front = next;
    hops += 1;
  }
  return hops;
}

test('with two remote peers one is in another region when there is one', t => {
  const view = createFleet({...TODAY_AT_LARGEST, zoneSizes: [9, 9, 9, 9]});
  for (const own of hostsOf(view)) {
    const peers = choosePeers(own, view, COUNTS[1]!);
    const regions = peers.map(peer => view.host(peer)?.host.region);
    t.true(regions.some(region => region !== own.region));
  }
});

test('every zone with a host that accepts work has a reader, and no more than asked', t => {
  fc.assert(
    fc.property(
      SHAPES,
      fc.integer({min: 0, max: 3}),
      fc.array(fc.nat(119), {maxLength: 60}),
      (shape, readersCount, stoppedIndexes) => {
        const view = createFleet(shape);
        const hosts = hostsOf(view);
        view.mergeStatuses(
          stoppedIndexes.flatMap(index => {
            const hostName = hosts[index]?.hostName;
            if (hostName === undefined) return [];
            const phase = index % 2 === 0 ? 'stopped' : 'draining';
            return [{hostName, incarnationMillis: 1, sequence: 1, phase}];
          }),
        );
        for (const zone of new Set(hosts.map(h => h.availabilityZone))) {
          const readers = electReaders(zone, readersCount, view);
          const usable = view.hostsIn(zone).filter(h => h.acceptsNewWork);
          const expectedCount = Math.min(
            usable.length,
            Math.max(1, readersCount),
          );
          if (readers.length !== expectedCount) throw new Error(zone);
          for (const reader of readers) {
            if (view.host(reader)?.acceptsNewWork !== true) {
              throw new Error(`${reader} does not accept work.`);
            }
          }
        }
      },
    ),
    {numRuns: 100, seed: 7},
  );
  t.pass();
});
