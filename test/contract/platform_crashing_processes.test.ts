/**
 * Nodes as separate processes, with upstreams that crash on one request.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ClientResponse} from '../fakes/fleet_client.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from '../fakes/process_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const SERVICES = ['shop', 'orders', 'orders', 'orders', 'orders'];
const CULPRIT_PATH = '/a/culprit';
const CRASHES_COUNT = 3;
const DOWN_MILLIS = 300;

/** Time in which a started node must receive the crash reports of other nodes. */
const CRASH_REPORTS_WAIT_MILLIS = 2500;

test('nodes that are killed and restarted refuse a request that crashed upstreams', async t => {
  // Guards against a request that crashes three more upstreams each time most nodes are
  // lost.
  const fleet = await startProcessFleet(t, SERVICES);
  const {hosts, publish, restart, send} = fleet;
  await waitForVersion(hosts, 1);
  await waitForAllUpstreams(hosts);
  let runsCount = 0;
  let startsCount = 0;
  for (const [index, {upstream}] of hosts.entries()) {
    upstream.crashOn({
      isMatch: ({target}) => {
        if (target !== CULPRIT_PATH) return false;
        runsCount += 1;
        return true;
      },
      afterMillis: 20,
      downMillis: DOWN_MILLIS,
      onStarted: () => {
        startsCount += 1;
        const bornMillis = 1_790_000_000_000 + startsCount;
        publish(index, {id: upstream.id, bornMillis, seq: 1});
      },
    });
  }
  let sentCount = 0;
  const sendCulprit = (): Promise<ClientResponse> => {
    sentCount += 1;
    return send(sentCount % hosts.length, {
      attemptId: `culprit${String(sentCount)}`,
      path: CULPRIT_PATH,
    });
  };
  const crashesCount = (): number =>
    hosts.reduce((sum, {upstream}) => sum + upstream.crashesCount, 0);
  for (let index = 0; index < 400; index += 1) {
    if (crashesCount() >= CRASHES_COUNT) break;
    await sendCulprit();
    await sleep(20);
  }
  t.is(crashesCount(), CRASHES_COUNT);
  await waitUntil('quarantined at all nodes', () =>
    hosts.every(({lines}) =>
      lines.some(({event}) => event === 'request-quarantined'),
    ),
  );
  await waitUntil('upstreams restarted', () => startsCount === CRASHES_COUNT);

  for (const index of [0, 1, 2, 3]) restart(index);
  await waitForVersion(hosts, 1);
  await sleep(CRASH_REPORTS_WAIT_MILLIS);
  const runsBefore = runsCount;
  for (let round = 0; round < 2 * hosts.length; round += 1) {
    const answer = await sendCulprit();
    t.is(answer.statusCode, 503);
  }
  t.is(runsCount, runsBefore);
  const served = await send(0, {attemptId: 'other', path: '/a/other'});
  t.is(served.statusCode, 200);
});
