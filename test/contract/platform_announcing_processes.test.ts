/**
 * Nodes as separate processes, with upstreams that announce a limit or that they leave.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
  lateArrivals,
  peakWindowCount,
  sendSteadily,
  toleratedCount,
} from '../fakes/announced_load.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from '../fakes/process_fleet.js';

const SERVICES = ['shop', 'desk', 'orders', 'orders', 'orders'];

/** Index of the host whose upstream announces something. */
const ANNOUNCING_INDEX = 2;

/** Nodes that are not restarted. */
const CALLER_INDEXES = [0, 1, 3, 4];

const WORK_MILLIS = 600;

test('a node that restarts keeps to the limit of its upstream before it has learned it', async t => {
  // Guards against a restarted node that fills all slots of an upstream in need before
  // the first response announces the limit again.
  const fleet = await startProcessFleet(t, SERVICES);
  const {hosts, send, restart, publish} = fleet;
  await waitForVersion(hosts, 1);
  await waitForAllUpstreams(hosts);
  for (const [index, {upstream}] of hosts.entries()) {
    publish(index, {seq: 2, slots: 100});
    upstream.setHandler(request => {
      setTimeout(() => {
        request.respond(200, 'served');
      }, WORK_MILLIS);
    });
  }
  const limited = hosts.slice(ANNOUNCING_INDEX).map(host => host.upstream);
  for (const upstream of limited) upstream.announce({limits: ['1']});
  const load = sendSteadily(send, {
    nodeIndexes: CALLER_INDEXES,
    perSecond: 150,
    durationMillis: 10_000,
  });
  await sleep(5000);
  restart(ANNOUNCING_INDEX);
  const exchanges = await load;
  for (const upstream of limited) {
    const peakCount = peakWindowCount(exchanges, upstream.arrivals);
    t.true(peakCount <= toleratedCount(1), String(peakCount));
    t.true(peakCount >= 3, String(peakCount));
  }
});

test('nodes remember that an upstream is leaving while the node on its host restarts', async t => {
  // Guards against a leaving upstream that gets requests again because only the node on
  // its host knew of its leaving.
  const fleet = await startProcessFleet(t, SERVICES);
  const {hosts, send, restart, publish} = fleet;
  await waitForVersion(hosts, 1);
  await waitForAllUpstreams(hosts);
  const {upstream} = hosts[ANNOUNCING_INDEX]!;
  upstream.announce({isLeaving: true});
  const load = sendSteadily(send, {
    nodeIndexes: CALLER_INDEXES,
    perSecond: 80,
    durationMillis: 7000,
  });
  await sleep(2500);
  restart(ANNOUNCING_INDEX);
  publish(ANNOUNCING_INDEX, {seq: 2});
  const exchanges = await load;
  const lateIds = lateArrivals(exchanges, upstream.arrivals);
  t.is(lateIds.length, 0, lateIds.join(' '));
  t.true(upstream.arrivals.length > 0);
});
