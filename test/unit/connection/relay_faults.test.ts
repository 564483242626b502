/**
 * Sweeps the moment at which watching nodes fail over the bound on applying a version, and
 * measures when the other nodes apply it.
 */
import type {ExecutionContext} from 'ava';
import test from 'ava';
import * as Effect from 'effect/Effect';
import type {
  RelayFleet,
  RelayFleetOptions,
  RelayNode,
} from '../../fakes/relay_fleet.js';
import {simulateRelayFleet} from '../../fakes/relay_fleet.js';
import {createSeededRandom} from '../../fakes/seeded_random.js';

const APPLY_WITHIN_MILLIS = 2000;
const ZONES_COUNT = 3;

const FLEET: Omit<RelayFleetOptions, 'random'> = {
  nodesCount: 15,
  zonesCount: ZONES_COUNT,
  applyWithinMillis: APPLY_WITHIN_MILLIS,
  messagesPerSecond: 20,
};

/** Time for the first reads and the selection of watching nodes. */
const START_MILLIS = 3000;

/** Time in which every relaying node calls the source or is polled. */
const IDLE_MILLIS = 3500;

/** Steps of the sweep; a full one, run by hand, takes 100 ms and some minutes. */
const FAULT_STEP_MILLIS = Number(process.env['SWEEP_STEP_MILLIS'] ?? 400);

/** Times from the change of an entry to the publication of the version. */
const ENTRY_LEADS_MILLIS = [0, 700, 2500] as const;

const MAX_ENTRY_LEAD_MILLIS = Math.max(...ENTRY_LEADS_MILLIS);

/** Time after the publication within which a late application is measured. */
const OBSERVED_MILLIS = 3 * APPLY_WITHIN_MILLIS;

const OBSERVATION_STEP_MILLIS = 20;

const FAULTS: ReadonlyArray<readonly [string, (node: RelayNode) => void]> = [
  [
    'are killed',
    node => {
      node.kill();
    },
  ],
  [
    'reach no other node',
    node => {
      node.isPartitioned = true;
    },
  ],
  [
    'are frozen',
    node => {
      node.isPartitioned = true;
      node.source.setState('stalled');
    },
  ],
  [
    'receive nothing from the store',
    node => {
      node.source.setState('stalled');
    },
  ],
];

const SLOW_NETWORK = {linkDelayMillis: 40, sourceDelayMillis: 100};

/** Nodes that call the source, or that other nodes poll, one list for each zone. */
function findRelayingNodes(
  fleet: RelayFleet,
): Effect.Effect<ReadonlyArray<readonly RelayNode[]>> {
  return Effect.gen(function* () {
    const before = fleet.nodes.map(
      ({source, pollsCount}) => source.callsCount + pollsCount,
    );
    yield* fleet.run(IDLE_MILLIS);
    const relaying = fleet.nodes.filter(
      ({source, pollsCount}, index) =>
        source.callsCount + pollsCount > (before[index] ?? 0),
    );
    const zones = [...new Set(fleet.nodes.map(({zone}) => zone))];
    return zones.map(zone => relaying.filter(node => node.zone === zone));
  });
}

interface SweepCase {
  readonly options: RelayFleetOptions;
  readonly entryLeadMillis: number;
  /** Time from the publication to the fault; negative before it. */
  readonly faultMillis: number;
  readonly failedZones: readonly number[];
  readonly fail: (node: RelayNode) => void;
}

/** Returns the time until all nodes without a fault have applied the version. */
async function measureDelayMillis(sweepCase: SweepCase): Promise<number> {
  const {options, entryLeadMillis, faultMillis, failedZones, fail} = sweepCase;
  let delayMillis = Infinity;
  await simulateRelayFleet(options, fleet =>
    Effect.gen(function* () {
      yield* fleet.run(START_MILLIS);
      const relaying = yield* findRelayingNodes(fleet);
      const failing = failedZones.flatMap(zone => relaying[zone] ?? []);
      const others = fleet.nodes.filter(node => !failing.includes(node));
      const publishMillis = fleet.nowMillis() + MAX_ENTRY_LEAD_MILLIS;
      /** Revision of the version once it is published. */
      let revision = Infinity;
      let isChanged = false;
      let hasFailed = false;
      const endMillis = publishMillis + OBSERVED_MILLIS;
      while (delayMillis === Infinity && fleet.nowMillis() < endMillis) {
        yield* fleet.run(OBSERVATION_STEP_MILLIS, atMillis => {
          const sincePublicationMillis = atMillis - publishMillis;
          if (!isChanged && sincePublicationMillis >= -entryLeadMillis) {
            isChanged = true;
            fleet.change('servers/1');
          }
          if (!hasFailed && sincePublicationMillis >= faultMillis) {
            hasFailed = true;
            for (const node of failing) fail(node);
          }
          if (revision === Infinity && sincePublicationMillis >= 0) {
            revision = fleet.change('op/config');
          }
          const isApplied = others.every(
            ({appliedPosition}) => appliedPosition.revision >= revision,
          );
          if (isApplied) {
            delayMillis = Math.min(delayMillis, sincePublicationMillis);
          }
        });
      }
    }),
  );
  return delayMillis;
}

async function assertAppliedInTime(
  t: ExecutionContext,
  fail: (node: RelayNode) => void,
  failedZonesCount: number,
  network: Pick<RelayFleetOptions, 'linkDelayMillis' | 'sourceDelayMillis'>,
): Promise<void> {
  const late: string[] = [];
  let worstMillis = 0;
  let seed = 0;
  for (const entryLeadMillis of ENTRY_LEADS_MILLIS) {
    for (
      let faultMillis = -APPLY_WITHIN_MILLIS;
      faultMillis <= APPLY_WITHIN_MILLIS;
      faultMillis += FAULT_STEP_MILLIS
    ) {
      seed += 1;
      const firstZone = seed % ZONES_COUNT;
      const failedZones = Array.from(
        {length: failedZonesCount},
        (_, index) => (firstZone + index) % ZONES_COUNT,
      );
      const delayMillis = await measureDelayMillis({
        options: {...FLEET, ...network, random: createSeededRandom(seed)},
        entryLeadMillis,
        faultMillis,
        failedZones,
        fail,
      });
      worstMillis = Math.max(worstMillis, delayMillis);
      if (delayMillis <= APPLY_WITHIN_MILLIS) continue;
      late.push(
        `seed ${String(seed)}, entry ${String(entryLeadMillis)} ms before, ` +
          `fault at ${String(faultMillis)} ms: ${String(delayMillis)} ms`,
      );
    }
  }
  t.log(`worst ${String(worstMillis)} ms, ${String(late.length)} late`);
  t.deepEqual(late, []);
}

for (const [fault, fail] of FAULTS) {
  for (const zonesCount of [1, 2, 3]) {
    // A version was applied 3 s after its publication, because all nodes that watched for
    // the others had silently lost the store and still reported that they watched it.
    test(`a version is applied in time if the nodes that watch for ${String(zonesCount)} of 3 zones ${fault}`, async t => {
      await assertAppliedInTime(t, fail, zonesCount, {});
    });
  }

  test(`a version is applied in time on a slow network if all watching nodes ${fault}`, async t => {
    await assertAppliedInTime(t, fail, ZONES_COUNT, SLOW_NETWORK);
  });
}
