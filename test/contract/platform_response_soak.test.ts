/**
 * Soak of reads over node processes that are killed, stopped, frozen and cut off, with
 * upstreams that break off responses or send second ones. `SOAK_SEED` and
 * `SOAK_SEEDS_COUNT` select the seeds.
 */
import process from 'node:process';
import test from 'ava';
import {runResponseSoak} from '../fakes/response_soak.js';

const SEEDS_COUNT = Number(process.env['SOAK_SEEDS_COUNT'] ?? 1);
const FIRST_SEED = Number(process.env['SOAK_SEED'] ?? 1);

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS_COUNT; seed += 1) {
  test.serial(
    `a client gets whole responses of its own only: seed ${String(seed)}`,
    async t => {
      // Guards against responses to other requests, and parts that look complete.
      const {outcomes, mixedResponses} = await runResponseSoak(t, {
        seed,
        clientsCount: 14,
        durationMillis: 6000,
        services: ['shop', 'desk', 'orders', 'orders', 'orders'],
      });
      t.log([...outcomes].join(' '));
      t.deepEqual(mixedResponses, []);
    },
  );
}
