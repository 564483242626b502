/**
 * Simulates the choices of many nodes in a service with more upstreams than one
 * node sends requests in a second.
 */
import test from 'ava';
import {createPlacementNode} from '../../../fakes/placement_node.js';
import {createSeededRandom} from '../../../fakes/seeded_random.js';
import {upstreamEntry} from '../../../fakes/route_documents.js';

const NO_IDS: ReadonlySet<string> = new Set();
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const UPSTREAMS_COUNT = 32;
const RESPONSE_MILLIS = 200;
const CHOICES_PER_SECOND = 12;

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

/** One node in zone a with all upstreams in its directory. */
function createNode(seed: number) {
  const node = createPlacementNode(createSeededRandom(seed));
  const {loadTable, directory, chooser, nowMillis, advance} = node;
  directory.put(
    Array.from({length: UPSTREAMS_COUNT}, (_, index) =>
      upstreamEntry({
        id: String(index),
        zone: zoneOf(index),
        hostKey: `10.1.0.${String(index)}:80`,
      }),
    ),
  );
  const choose = (excludedIds = NO_IDS) => {
    const placement = chooser.choose('orders', excludedIds);
    return {index: Number(placement?.upstream.entry.id), placement};
  };
  const report = (index: number): void => {
    loadTable.observe({
      upstreamId: String(index),
      service: 'orders',
      inFlightCount: 2,
      queuedCount: 0,
      limitCount: 10,
      averageMillis: RESPONSE_MILLIS,
      level: 511,
      madeAtMillis: nowMillis(),
    });
  };
  /**
   * Chooses at the rate of one node for so long; returns the chosen upstreams.
   */
  const chooseFor = (seconds: number, silentIndex = -1): readonly number[] =>
    Array.from({length: seconds * CHOICES_PER_SECOND}, () => {
      advance(1000 / CHOICES_PER_SECOND);
      const {index, placement} = choose();
      loadTable.expire();
      if (index === silentIndex) return index;
      placement?.end('served');
      report(index);
      return index;
    });
  return {
    choose,
    chooseFor,
    advance,
  };
}

function shareOf(
  chosen: readonly number[],
  isCounted: (index: number) => boolean,
): number {
  return chosen.filter(isCounted).length / chosen.length;
}

test('a node with few requests for many upstreams prefers its zone', t => {
  // Guards against two thirds of the traffic crossing zones while a third of
  // the upstreams get no requests: each upstream without requests for 1.5 s got
  // the next one, the first in the list first, and at 12 requests a second and
  // 32 upstreams this applied to every request.
  const chosen = createNode(1).chooseFor(60);
  t.true(shareOf(chosen, index => zoneOf(index) === 'zone-a') >= 0.85);
});

test('every upstream gets a request within a minute', t => {
  const nodes = [1, 2, 3].map(seed => createNode(seed).chooseFor(60));
  t.is(new Set(nodes.flat()).size, UPSTREAMS_COUNT);
});

test('nodes that have been idle do not all choose the same upstream', t => {
  // Guards against eight requests at six nodes of a zone that all go to one
  // upstream of another zone, because all nodes probe the same list in order.
  const chosen = Array.from({length: 60}, (_, seed) => {
    const node = createNode(seed + 1);
    node.advance(5000);
    return node.choose().index;
  });
  const counts = new Map<number, number>();
  for (const index of chosen) counts.set(index, (counts.get(index) ?? 0) + 1);
  t.true(Math.max(...counts.values()) <= 12);
});

test('an upstream that never responds is not assumed to be the fastest', t => {
  // Guards against an upstream that is too slow to respond and gets a fifth of
  // all requests: without a report on it, it was assumed to be faster than its
  // service.
  const silentIndex = 3;
  const chosen = createNode(7).chooseFor(60, silentIndex);
  t.true(shareOf(chosen, index => index === silentIndex) <= 0.06);
});

test('a retry is sent to the best upstream and never used as a probe', t => {
  // Guards against a read that fails at its deadline while another zone is
  // partitioned: an upstream there timed out after 1.6 s, then the next one
  // there, and so on. After 1.5 s each retry was used as a probe of an upstream
  // without recent requests.
  const zones = Array.from({length: 30}, (_, seed) => {
    const node = createNode(seed + 1);
    const {index, placement} = node.choose();
    node.advance(1600);
    placement?.end('unreachable');
    return zoneOf(node.choose(new Set([String(index)])).index);
  });
  t.deepEqual(new Set(zones), new Set(['zone-a']));
});
