import test from 'ava';
import {
  generateLoad,
  scheduleArrivals,
} from '../../../src/emulator/load_generator.js';
import type {LoadFlow} from '../../../src/emulator/load_plan.js';
import {createSeededRandom} from '../../../src/emulator/seeded_random.js';
import {createEmulatedUpstream} from '../../../src/emulator/emulated_upstream.js';

const FLOW: LoadFlow = {
  name: 'tiles',
  className: 'browse',
  service: 'atlas',
  method: 'GET',
  path: '/tiles/1',
  ratePerSecond: 200,
  habits: {
    attemptTimeoutMillis: 30_000,
    patienceMillis: 60_000,
    // All three faults may hit one request, as its retries race with others.
    repeatsCount: 3,
    pauseMillis: 1,
    honoursRetryAfter: true,
    repeatsAfter: 'any',
  },
};
const PHASES = [
  {name: 'normal', durationMillis: 100, rateFactor: 1},
  {name: 'quiet', durationMillis: 50, rateFactor: 0},
  {name: 'surge', durationMillis: 50, rateFactor: 4},
];

test('arrivals depend only on the seed and follow the phases', t => {
  const first = [...scheduleArrivals(PHASES, 200, createSeededRandom(7))];
  const second = [...scheduleArrivals(PHASES, 200, createSeededRandom(7))];
  t.deepEqual(first, second);
  t.true(first.some(at => at < 100) && first.some(at => at >= 150));
  t.false(first.some(at => at >= 100 && at < 150));
});

test('every arrival is sent and retried under its own name', async t => {
  const upstream = await createEmulatedUpstream({
    hostName: 'h1',
    service: 'atlas',
    port: 0,
    localPort: 0,
    slotsCount: 100,
    routes: [
      {method: 'GET', path: '/tiles/:id', serviceMillis: 0, answerBytes: 500},
    ],
  });
  t.teardown(upstream.close);
  upstream.setFault({mode: 'error', remainingCount: 3});
  const report = await generateLoad({
    ports: [upstream.port],
    flows: [FLOW],
    phases: PHASES,
    seed: 7,
  });
  const [flow] = report.flows;
  const offeredCount = [...scheduleArrivals(PHASES, 200, createSeededRandom(7))]
    .length;
  t.true(offeredCount > 3);
  t.is(flow!.offeredCount, offeredCount);
  t.is(flow!.goodCount, offeredCount);
  t.is(flow!.attemptsCount, offeredCount + 3);
  t.deepEqual(flow!.reasons, {'500': 3});
  const executions = upstream.record.find({});
  t.is(new Set(executions.map(({request}) => request)).size, offeredCount);
  const goodCounts = report.buckets.map(bucket => bucket.good['browse'] ?? 0);
  t.is(
    goodCounts.reduce((sum, count) => sum + count, 0),
    offeredCount,
  );
});
