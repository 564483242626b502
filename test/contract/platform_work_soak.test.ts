/**
 * Soak of long requests over node processes that are stopped, killed and frozen, with
 * upstreams that refuse connections while they work. `SOAK_SEED` and `SOAK_SEEDS_COUNT`
 * select the seeds.
 */
import process from 'node:process';
import test from 'ava';
import {runWorkSoak} from '../fakes/work_soak.js';

const SEEDS_COUNT = Number(process.env['SOAK_SEEDS_COUNT'] ?? 1);
const FIRST_SEED = Number(process.env['SOAK_SEED'] ?? 1);

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS_COUNT; seed += 1) {
  test.serial(
    `no request is failed by a node while its upstream is at work on it: seed ${String(seed)}`,
    async t => {
      // Guards against runs that are cut because something else failed.
      const report = await runWorkSoak(t, {
        seed,
        clientsCount: 20,
        durationMillis: 8000,
      });
      t.log([...report.outcomes].join(' '), [...report.exclusions].join(' '));
      t.log(`longest stall ${report.maxStallMillis.toFixed(0)} ms`);
      t.deepEqual(report.failedAtWork, []);
    },
  );
}
