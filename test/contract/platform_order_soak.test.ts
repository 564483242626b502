/**
 * Soak of orders over node processes that are killed, stopped and frozen, with upstreams
 * that restart, break off, or are full. `SOAK_SEED` and `SOAK_SEEDS_COUNT` select the seeds.
 */
import process from 'node:process';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {OrderSoakReport} from '../fakes/order_soak.js';
import {runOrderSoak} from '../fakes/order_soak.js';

const SEEDS_COUNT = Number(process.env['SOAK_SEEDS_COUNT'] ?? 1);
const FIRST_SEED = Number(process.env['SOAK_SEED'] ?? 1);
const DURATION_MILLIS = 6000;
const SERVICES = ['shop', 'desk', 'orders', 'orders', 'orders'];

/** One or two upstreams in reach, so that rejected orders come back to the same one. */
const FULL_SERVICES = [
  ['shop', 'desk', 'orders'],
  ['shop', 'orders', 'orders'],
];

function checkReport(t: ExecutionContext, report: OrderSoakReport): void {
  t.log([...report.outcomes].join(' '), report.sentAgainCount);
  const {repeatedOrders, brokenPromises} = report;
  t.deepEqual(
    {repeatedOrders, brokenPromises},
    {repeatedOrders: [], brokenPromises: []},
  );
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS_COUNT; seed += 1) {
  for (const maxPipelinedCount of [1, 3]) {
    test.serial(
      `an order runs at most once, sent by ${String(maxPipelinedCount)}: seed ${String(seed)}`,
      async t => {
        // Guards against orders that run twice, or after a promise that they have not.
        const report = await runOrderSoak(t, {
          seed,
          clientsCount: 14,
          durationMillis: DURATION_MILLIS,
          maxPipelinedCount,
          services: SERVICES,
        });
        checkReport(t, report);
      },
    );
  }
  for (const services of FULL_SERVICES) {
    test.serial(
      `an order runs at most once at upstreams that reject and repeat responses, ${services.join(', ')}: seed ${String(seed)}`,
      async t => {
        // Guards against a copied rejection that is taken for one of another dispatch.
        const report = await runOrderSoak(t, {
          seed,
          clientsCount: 14,
          durationMillis: DURATION_MILLIS,
          maxPipelinedCount: 1,
          services,
          hasFullUpstreams: true,
        });
        checkReport(t, report);
      },
    );
  }
  test.serial(
    `an order runs at most once over links that are cut: seed ${String(seed)}`,
    async t => {
      // Guards against orders whose claim, cancellation and body cross each other.
      const report = await runOrderSoak(t, {
        seed,
        clientsCount: 14,
        durationMillis: DURATION_MILLIS,
        maxPipelinedCount: 3,
        services: SERVICES,
        hasLinkFaults: true,
      });
      checkReport(t, report);
    },
  );
}
