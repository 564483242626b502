/**
 * Simulates a document follower: number of calls to its source, and delay of
 * changes, while many documents change and while the source is unavailable.
 */
import test from 'ava';
import {createFollowerPacing} from '../../../src/process/membership/follower_pacing.js';
import type {PeerPositions} from '../../../src/process/membership/peer_positions.js';
import {createPeerPositions} from '../../../src/process/membership/peer_positions.js';
import {simulateFollower} from '../../fakes/follower_simulation.js';
import type {SimulatedSource} from '../../fakes/simulated_source.js';
import {createSimulatedSource} from '../../fakes/simulated_source.js';
import {createSeededRandom} from '../../fakes/seeded_random.js';

const STEP_MILLIS = 10;

/** Actions on the source at a point of simulated time. */
type SourceScript = (
  source: SimulatedSource,
  atMillis: number,
  peerPositions: PeerPositions,
) => void;

interface SimulationResult {
  readonly callsPerSecond: number;
  /** Longest time from a change to its receipt. */
  readonly worstDelayMillis: number;
  /** Times at which the source was detected as reachable. */
  readonly reachedMillis: readonly number[];
}

/** Follows a source for a simulated time; `script` runs at every step. */
async function simulate(
  seconds: number,
  applyWithinMillis: number,
  script: SourceScript,
): Promise<SimulationResult> {
  const clock = {millis: 0};
  let worstDelayMillis = 0;
  const reachedMillis: number[] = [];
  const pendingChanges = new Map<number, number>();
  const source = createSimulatedSource(() => clock.millis);
  const change = source.change;
  const trackedSource: SimulatedSource = {
    ...source,
    change: key => {
      const revision = change(key);
      pendingChanges.set(revision, clock.millis);
      return revision;
    },
  };
  const recordReceived = (revision: number): void => {
    for (const [changedRevision, atMillis] of pendingChanges) {
      if (changedRevision > revision) continue;
      pendingChanges.delete(changedRevision);
      worstDelayMillis = Math.max(worstDelayMillis, clock.millis - atMillis);
    }
  };
  const peerPositions = createPeerPositions();
  await simulateFollower({
    source,
    clock,
    stepMillis: STEP_MILLIS,
    endMillis: seconds * 1000,
    onStep: atMillis => {
      script(trackedSource, atMillis, peerPositions);
    },
    prefix: '',
    peerPositions,
    pacing: createFollowerPacing({
      applyWithinMillis,
      random: createSeededRandom(5),
    }),
    listener: {
      onCall: () => undefined,
      onRestored: () => undefined,
      onLost: () => undefined,
      onReached: () => reachedMillis.push(clock.millis),
      onSnapshot: (_documents, revision) => {
        recordReceived(revision);
      },
      onChanges: (_documents, revision) => {
        recordReceived(revision);
      },
    },
  });
  for (const atMillis of pendingChanges.values()) {
    worstDelayMillis = Math.max(worstDelayMillis, clock.millis - atMillis);
  }
  const callsPerSecond = source.callsCount / seconds;
  return {callsPerSecond, worstDelayMillis, reachedMillis};
}

/** Changes one of the entries at each multiple of an interval, in turn. */
function changeEvery(
  intervalMillis: number,
  entriesCount: number,
): SourceScript {
  return (source, atMillis) => {
    if (atMillis % intervalMillis !== 0) return;
    source.change(
      `servers/${String((atMillis / intervalMillis) % entriesCount)}`,
    );
  };
}

test('the number of calls does not grow with the number of changing entries', async t => {
  // While a fleet started, each of 69 nodes made 4.2 calls per second, and each call
  // woke a process: a watch returned for every change of every entry, and the next
  // watch was sent immediately.
  for (const [intervalMillis, entriesCount] of [
    [500, 69],
    [100, 300],
    [20, 830],
  ] as const) {
    const script = changeEvery(intervalMillis, entriesCount);
    const {callsPerSecond, worstDelayMillis} = await simulate(60, 2500, script);
    t.true(
      callsPerSecond <= 0.53,
      `${String(callsPerSecond)} calls per second`,
    );
    t.true(worstDelayMillis <= 2100, `${String(worstDelayMillis)} ms`);
  }
});

test('an idle node makes less than one call in three seconds', async t => {
  const {callsPerSecond} = await simulate(60, 2000, () => undefined);
  t.true(callsPerSecond <= 0.34, `${String(callsPerSecond)} calls per second`);
});

test('a change after an idle period is received immediately', async t => {
  const {worstDelayMillis} = await simulate(30, 2000, changeEvery(6000, 5));
  t.true(worstDelayMillis <= 2 * STEP_MILLIS);
});

test('a shorter bound shortens the batching pause', async t => {
  const {worstDelayMillis} = await simulate(30, 2000, changeEvery(130, 69));
  t.true(worstDelayMillis <= 1600, `${String(worstDelayMillis)} ms`);
});

test('a source that refuses calls is called about once per second', async t => {
  // While the store was unavailable for 9 s, a node made 13 calls per second, each
  // billed: both watches were retried after 100 to 200 ms without a backoff.
  const {callsPerSecond, reachedMillis} = await simulate(
    20,
    2000,
    (source, atMillis) => {
      if (atMillis === 1000) source.setState('refusing');
      if (atMillis === 19_000) source.setState('healthy');
    },
  );
  t.true(callsPerSecond <= 1.5, `${String(callsPerSecond)} calls per second`);
  const recoveryMillis = (reachedMillis.at(-1) ?? 0) - 19_000;
  t.true(
    recoveryMillis > 0 && recoveryMillis <= 1200,
    `${String(recoveryMillis)} ms`,
  );
});

test('the recovery of a silent source is detected in time', async t => {
  const {reachedMillis} = await simulate(20, 2000, (source, atMillis) => {
    if (atMillis === 1000) source.setState('silent');
    if (atMillis === 12_340) source.setState('healthy');
  });
  const recoveryMillis = (reachedMillis.at(-1) ?? 0) - 12_340;
  t.true(
    recoveryMillis > 0 && recoveryMillis <= 1300,
    `${String(recoveryMillis)} ms`,
  );
});

test('changes take effect in time while the history is compacted', async t => {
  const changeEntries = changeEvery(130, 69);
  const {callsPerSecond, worstDelayMillis} = await simulate(
    30,
    2500,
    (source, atMillis, peerPositions) => {
      changeEntries(source, atMillis, peerPositions);
      source.compact();
    },
  );
  t.true(worstDelayMillis <= 2100, `${String(worstDelayMillis)} ms`);
  // One rejected watch and one read per pause.
  t.true(callsPerSecond <= 1.1, `${String(callsPerSecond)} calls per second`);
});

test('a watch without changes is cancelled once other nodes report a later position', async t => {
  // A version took effect 3.4 to 3.5 s late at five of nine nodes, which refused
  // requests for its route. Their watches began while the source dropped its
  // history, and reported the loss only when they timed out.
  const {worstDelayMillis, callsPerSecond} = await simulate(
    30,
    2000,
    (source, atMillis, peerPositions) => {
      if (atMillis === 5000) source.stallWatches(true);
      if (atMillis === 8600) source.change('op/config');
      if (atMillis === 8700) source.compact();
      if (atMillis === 8700) source.stallWatches(false);
      // The other nodes received the change and report it in their messages.
      if (atMillis >= 8700) {
        peerPositions.recordPeerPosition({epoch: 0, revision: 2});
      }
    },
  );
  t.true(worstDelayMillis <= 1000, `${String(worstDelayMillis)} ms`);
  t.true(callsPerSecond <= 0.5, `${String(callsPerSecond)} calls per second`);
});

test('the first watch after a pause has a short timeout', async t => {
  // As above, when all nodes batch changes at once and none receives the version.
  const {worstDelayMillis, callsPerSecond} = await simulate(
    30,
    2000,
    (source, atMillis) => {
      if (atMillis === 5000) source.change('servers/1');
      if (atMillis === 5800) source.change('op/config');
      if (atMillis === 6400) source.stallWatches(true);
      if (atMillis === 6600) source.compact();
      if (atMillis === 6700) source.stallWatches(false);
    },
  );
  t.true(worstDelayMillis <= 1900, `${String(worstDelayMillis)} ms`);
  t.true(callsPerSecond <= 0.5, `${String(callsPerSecond)} calls per second`);
});

test('a reported revision that the source does not have costs one read per pause', async t => {
  // A faulty node, or one of another fleet, could cause continuous calls from all
  // other nodes. Each pause of 1.5 s is followed by a short watch, one that is
  // cancelled after 0.4 s, and a read.
  const {callsPerSecond} = await simulate(
    30,
    2000,
    (_source, atMillis, peerPositions) => {
      peerPositions.recordPeerPosition({
        epoch: 0,
        revision: 1_000_000 + atMillis,
      });
    },
  );
  t.true(callsPerSecond <= 3 / 2, `${String(callsPerSecond)} calls per second`);
});
