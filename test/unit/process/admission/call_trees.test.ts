import test from 'ava';
import {createCallTrees} from '../../../../src/process/admission/call_trees.js';
import {createRetryGrant} from '../../../../src/process/retries/shared_retry_grant.js';
import {createInFlightParents} from '../../../../src/process/retries/in_flight_parents.js';

const ORIGIN = {
  importance: 7,
  rootId: 'root',
  rootRouteName: 'route',
  rootBeganAtMillis: 0,
  isRepeat: false,
  grant: createRetryGrant(2),
};

const TARGET = {routeName: 'route', service: 'desk'};

test('a call tree follows the services that requests of the route reach', t => {
  const trees = createCallTrees();
  t.is(trees.callCountsOf(TARGET).size, 0);
  trees.observe(TARGET, new Map([['catalogue', 4]]));
  t.is(trees.callCountsOf(TARGET).get('catalogue'), 4);
  for (let index = 0; index < 200; index += 1) {
    trees.observe(TARGET, new Map([['tileyard', 2]]));
  }
  t.is(trees.callCountsOf(TARGET).get('catalogue'), undefined);
  t.true(Math.abs(trees.callCountsOf(TARGET).get('tileyard')! - 2) < 0.01);
});

test('a call tree is learned from failed requests until one succeeds', t => {
  // Guards against a node that starts during an overload and keeps admitting
  // requests that fail three hops below: it learned the services of a route
  // from successful requests only, and there are none while it admits
  // everything.
  const trees = createCallTrees();
  trees.observeFailed(TARGET, new Map([['desk', 1]]));
  trees.observeFailed(
    TARGET,
    new Map([
      ['desk', 1],
      ['catalogue', 2],
    ]),
  );
  t.is(trees.callCountsOf(TARGET).get('desk'), 1);
  t.is(trees.callCountsOf(TARGET).get('catalogue'), 2);
  trees.observe(TARGET, new Map([['catalogue', 4]]));
  t.deepEqual([...trees.callCountsOf(TARGET)], [['catalogue', 4]]);
  trees.observeFailed(TARGET, new Map([['other', 1]]));
  t.is(trees.callCountsOf(TARGET).get('other'), undefined);
});

test('a route that leads to another service has another call tree', t => {
  // Guards against a route that is refused for ever: it was moved from a service
  // whose last upstream is lost, and its call tree still required that one.
  const trees = createCallTrees();
  const moved = {...TARGET, service: 'desk-next'};
  trees.observe(TARGET, new Map([['desk', 1]]));
  t.is(trees.callCountsOf(moved).size, 0);
  trees.observeFailed(moved, new Map([['desk-next', 1]]));
  t.deepEqual([...trees.callCountsOf(moved)], [['desk-next', 1]]);
  trees.observe(moved, new Map([['desk-next', 1]]));
  t.deepEqual([...trees.callCountsOf(moved)], [['desk-next', 1]]);
  t.deepEqual([...trees.callCountsOf(TARGET)], [['desk', 1]]);
});

test('three probes that succeed remove a service that is no longer called', t => {
  const trees = createCallTrees();
  const called = new Map([
    ['desk', 1],
    ['catalogue', 4],
  ]);
  for (let index = 0; index < 200; index += 1) trees.observe(TARGET, called);
  for (let index = 0; index < 3; index += 1) {
    trees.observeProbe(TARGET, new Map([['desk', 1]]));
  }
  t.is(trees.callCountsOf(TARGET).get('catalogue'), 0.5);
  t.is(trees.callCountsOf(TARGET).get('desk'), 1);
});

test('the number of call trees is bounded', t => {
  const trees = createCallTrees();
  const targetOf = (index: number) => ({...TARGET, service: `s${index}`});
  for (let index = 0; index < 5000; index += 1) {
    trees.observe(targetOf(index), new Map([['desk', 1]]));
  }
  t.is(trees.callCountsOf(targetOf(0)).size, 0);
  t.is(trees.callCountsOf(targetOf(4999)).size, 1);
});

test('a call belongs to the request that its id is derived from', t => {
  const parents = createInFlightParents();
  const parent = parents.open('root.a', ORIGIN);
  t.is(parents.find('root.a.b')?.origin.importance, 7);
  t.is(parents.find('root.b'), undefined);
  t.is(parents.find('root'), undefined);
  parent.close();
  t.is(parents.find('root.a.b'), undefined);
});

test('calls and failures below a request are collected', t => {
  const parent = createInFlightParents().open('root', ORIGIN);
  parent.addCalls(new Map([['catalogue', 1]]));
  parent.addCalls(new Map([['catalogue', 2]]));
  t.is(parent.calls.get('catalogue'), 3);
  t.false(parent.hasFailedCall);
  parent.markFailedCall();
  t.true(parent.hasFailedCall);
});
