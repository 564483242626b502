import test from 'ava';
import type {
  RouteCounts,
  SimulatedRoute,
  SimulatedService,
} from '../../../fakes/fleet_load.js';
import {sumSeconds} from '../../../fakes/fleet_load.js';
import {simulateFleet} from '../../../fakes/fleet_simulation.js';

/**
 * The nodes of the two stock upstreams have the processor time for 2,000 calls a
 * second, their upstreams the slots for 19,000.
 */
const SERVICES: readonly SimulatedService[] = [
  {name: 'shop', slotsCount: 200, speeds: [1, 1, 1, 1, 1, 1, 1, 1]},
  {name: 'stock', slotsCount: 200, speeds: [1, 1]},
];

const MESSAGE_MILLIS = 0.5;

const ROUTES: readonly SimulatedRoute[] = [
  {...route('order', 'shop', 0), calls: ['count', 'count']},
  {...route('browse', 'shop', 1), calls: ['count', 'count']},
  route('count', 'stock', 0),
];

function route(name: string, service: string, rank: number): SimulatedRoute {
  const times = {workMillis: 20, timeoutMillis: 2000, objectiveMillis: 1000};
  return {name, service, rank, ...times, calls: []};
}

const DURATION_SECONDS = 10;
const SETTLED_SECOND = 5;

/** Part of the orders that must be served in time; all fit. */
const MIN_ORDERS_RATIO = 0.75;

/** Part of the capacity that must be used. */
const MIN_CAPACITY_RATIO = 0.7;

/** Requests per second for which the stock nodes have the processor time. */
const CAPACITY_PER_SECOND = 1000;

for (const seed of [1, 2, 3]) {
  test(`a node without processor time left serves what it can, seed ${seed}`, t => {
    // Guards against requests that are all late, since those that a node has not
    // read wait in no queue and no decision sees them.
    const clients = ['order', 'browse'].map(name => ({
      route: name,
      perSecond: 750,
      totalTimeoutMillis: 3000,
    }));
    const result = simulateFleet({
      services: SERVICES,
      routes: ROUTES,
      clients,
      durationMillis: DURATION_SECONDS * 1000,
      seed,
      messageMillis: MESSAGE_MILLIS,
    });
    const [orders, browses] = clients.map(client =>
      sumSeconds(result.routes.get(client.route)!, SETTLED_SECOND),
    ) as [RouteCounts, RouteCounts];
    const servedPerSecond =
      (orders.inTimeCount + browses.inTimeCount) /
      (DURATION_SECONDS - SETTLED_SECOND);
    t.log(orders.inTimeCount / orders.sentCount, servedPerSecond);
    t.true(orders.inTimeCount >= MIN_ORDERS_RATIO * orders.sentCount);
    t.true(servedPerSecond >= MIN_CAPACITY_RATIO * CAPACITY_PER_SECOND);
  });
}
