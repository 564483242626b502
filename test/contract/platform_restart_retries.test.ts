import test from 'ava';
import type {ExecutionContext} from 'ava';
import {RETRY_RATIO, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

const REQUESTS_COUNT = 60;
const SLACK_COUNT = 10;

/** Retries that the service may receive. */
const ALLOWED_COUNT = RETRY_RATIO * REQUESTS_COUNT + SLACK_COUNT;

/**
 * Sends requests right after all upstreams lost power: they have restarted
 * under new ids, and their previous entries are still listed.
 */
async function sendAfterPowerLoss(t: ExecutionContext, denialMillis: number) {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH],
    slots: 100,
    slackCount: SLACK_COUNT,
  });
  const [shop, ...orders] = fleet.hosts;
  for (const {upstream} of orders) {
    await upstream.restart(`${upstream.id}-later`);
    upstream.setMisdirectedDelayMillis(denialMillis);
  }
  const answers = await Promise.all(
    Array.from({length: REQUESTS_COUNT}, (_, index) =>
      fleet.send(shop!, {attemptId: `r${String(index)}`, path: '/a/1'}),
    ),
  );
  const arrivedIds = orders.flatMap(({upstream}) => upstream.arrivedIds);
  return {
    retriedCount: arrivedIds.length - new Set(arrivedIds).size,
    servedCount: answers.filter(({statusCode}) => statusCode === 200).length,
    refusedCount: answers.filter(({statusCode}) => statusCode === 503).length,
  };
}

test('requests for the ids of previous starts are served within the limit on retries', async t => {
  // A service received 268 retries in ten seconds where 226 are allowed. All
  // upstreams had lost power; each request was sent for an id of a previous
  // start, denied, and sent again without being charged to a budget: "reaches
  // server ..., answers 421 and doesn't run it", three times in a row for one
  // call. Here every request that is sent before the first denial would be sent
  // twice.
  const end = await sendAfterPowerLoss(t, 5);
  t.true(end.retriedCount <= ALLOWED_COUNT, String(end.retriedCount));
  // Denied requests have not run, so that all of them can be served.
  t.is(end.servedCount, REQUESTS_COUNT);
});

test('an upstream that denies late does not exceed the limit on retries', async t => {
  // As above, but an upstream that has just started responds late, so that all
  // requests are sent before the first denial. Of 60 reads 55 were sent twice
  // where 22 retries are allowed: the node on the upstream's host retried them
  // itself, and neither its own budget nor the sender's counted it.
  const end = await sendAfterPowerLoss(t, 150);
  t.true(end.retriedCount <= ALLOWED_COUNT, String(end.retriedCount));
  t.is(end.servedCount + end.refusedCount, REQUESTS_COUNT);
});
