import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {
  EntryFields,
  FleetHost,
  PlatformFleet,
} from '../fakes/platform_fleet.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import type {StoreSnapshot} from '../fakes/fake_store.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Counts the events of one kind that have the given fields. */
function countEvents(
  host: FleetHost,
  event: string,
  fields: Readonly<Record<string, unknown>> = {},
): number {
  return host.events.filter(
    logged =>
      logged.event === event &&
      Object.entries(fields).every(
        ([name, value]) => logged.fields[name] === value,
      ),
  ).length;
}

/** Waits until each host has logged an event. */
async function waitUntilAllLogged(
  {hosts}: PlatformFleet,
  event: string,
  fields: Readonly<Record<string, unknown>> = {},
): Promise<void> {
  await waitUntil(event, () =>
    hosts.every(host => countEvents(host, event, fields) > 0),
  );
}

/**
 * Publishes that an upstream drains and waits until all hosts have logged it.
 */
async function publishDraining(
  fleet: PlatformFleet,
  host: FleetHost,
  fields: EntryFields,
): Promise<void> {
  fleet.publish(host, {...fields, state: 'draining'});
  await waitUntilAllLogged(fleet, 'upstream-draining', {
    upstream: host.upstream.id,
  });
}

/**
 * Publishes the next version, where a fleet starts with 1, and waits for it.
 */
async function configureNext(
  fleet: PlatformFleet,
  configurationVersion: number,
): Promise<void> {
  fleet.configure([SAFE_PATH]);
  await waitUntilAllLogged(fleet, 'configuration-accepted', {
    configurationVersion,
  });
}

/** Makes the store unavailable for a moment and restores it from a copy. */
function restore(
  {store}: PlatformFleet,
  copy: StoreSnapshot,
  writeMeanwhile: () => void = () => undefined,
): void {
  store.setMode('reset');
  store.restore(copy);
  writeMeanwhile();
  store.setMode('healthy');
}

test('changes written after a restore are received', async t => {
  // An upstream still got requests long after it had published that it drains.
  // The store had been restored from an older copy and reused its revisions;
  // watches from before the loss continued at theirs, and changes written below
  // them were never delivered.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH],
  });
  const {store, hosts} = fleet;
  const [shop, leaving] = hosts;
  const copy = store.takeSnapshot();
  for (let seq = 2; seq < 5; seq += 1) fleet.publish(shop!, {seq});
  await configureNext(fleet, 2);
  const lostRevision = store.revision;
  restore(fleet, copy, () => {
    fleet.publish(leaving!, {seq: 2, state: 'draining'});
    for (let seq = 5; store.revision <= lostRevision; seq += 1) {
      fleet.publish(shop!, {seq});
    }
  });
  await configureNext(fleet, 3);
  for (const host of hosts) {
    const loggedCount = countEvents(host, 'upstream-draining', {
      upstream: 'i-2',
    });
    t.is(loggedCount, 1, host.address);
  }
});

test('a node disconnected from the restored store causes no repeated reads of others', async t => {
  // While one node was disconnected from the restored store, all others read it
  // again every half a second: 'stale, afterRevision 104' next to a peer that
  // reported 130. It still had the higher revision from before the restore,
  // which is not a later one.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'orders'],
    paths: [SAFE_PATH],
  });
  const {store, hosts} = fleet;
  const [shop, ...others] = hosts;
  const copy = store.takeSnapshot();
  for (let seq = 2; seq < 30; seq += 1) fleet.publish(shop!, {seq});
  await configureNext(fleet, 2);
  shop!.storeEndpoint.setMode('reset');
  await waitUntil('disconnected', () => countEvents(shop!, 'store-lost') > 0);
  store.restore(copy);
  for (let index = 0; index < 40; index += 1) {
    await fleet.send(shop!, {attemptId: `a${String(index)}`, path: '/a/1'});
    await sleep(50);
  }
  for (const host of others) {
    const loggedCount = countEvents(host, 'store-call', {call: 'stale'});
    t.is(loggedCount, 0, host.address);
  }
});

test('an upstream missing from the copy stays in use until its entry is written again', async t => {
  // A whole service had no upstreams for a second and a half. They had started
  // after the copy was made from which the store was restored, and the first
  // read came before they had written their entries again.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const {store, hosts} = fleet;
  const [shop, orders] = hosts;
  fleet.withdraw(orders!);
  await waitUntilAllLogged(fleet, 'upstream-left', {upstream: 'i-2'});
  const copy = store.takeSnapshot();
  fleet.publish(orders!, {seq: 2});
  await waitUntil('joined', () =>
    hosts.every(host => countEvents(host, 'upstream-joined') === 3),
  );
  restore(fleet, copy);
  await configureNext(fleet, 2);
  const answer = await fleet.send(shop!, {attemptId: 'a', path: '/a/1'});
  t.is(answer.statusCode, 200);
  fleet.publish(orders!, {seq: 3});
  await configureNext(fleet, 3);
  for (const host of hosts) t.is(countEvents(host, 'upstream-left'), 1);
});

test('an upstream missing from the copy that writes no entry again is removed', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [, orders] = fleet.hosts;
  fleet.withdraw(orders!);
  await waitUntilAllLogged(fleet, 'upstream-left', {upstream: 'i-2'});
  const copy = fleet.store.takeSnapshot();
  fleet.publish(orders!, {seq: 2});
  await waitUntil('joined', () =>
    fleet.hosts.every(host => countEvents(host, 'upstream-joined') === 3),
  );
  restore(fleet, copy);
  await waitUntil('gone', () =>
    fleet.hosts.every(host => countEvents(host, 'upstream-left') === 2),
  );
  t.pass();
});

for (const born of [undefined, 1_790_000_000_000]) {
  const kind =
    born === undefined ? 'without a start time' : 'with a start time';

  test(`an upstream ${kind} that left before a restore gets no requests after it`, async t => {
    // Requests were sent to an upstream that had left seconds before. The copy
    // from which the store was restored still listed it as ready, and nodes
    // treated the entry as that of a new upstream: 'upstream-joined' twice for
    // one id.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders', 'orders'],
      paths: [SAFE_PATH],
    });
    const [shop, leaving] = fleet.hosts;
    fleet.publish(leaving!, {born, seq: 2, slots: 19});
    const copy = fleet.store.takeSnapshot();
    await publishDraining(fleet, leaving!, {born, seq: 3});
    fleet.withdraw(leaving!);
    await waitUntilAllLogged(fleet, 'upstream-left', {upstream: 'i-2'});
    restore(fleet, copy);
    await configureNext(fleet, 2);
    for (const host of fleet.hosts) {
      const joined = countEvents(host, 'upstream-joined', {upstream: 'i-2'});
      t.is(joined, 1, host.address);
    }
    for (let index = 0; index < 10; index += 1) {
      const attemptId = `a${String(index)}`;
      await fleet.send(shop!, {attemptId, path: '/a/1'});
    }
    t.is(leaving!.upstream.arrivedIds.length, 0);
    // An upstream that is still running writes its entry again.
    fleet.publish(leaving!, {born, seq: 4});
    await waitUntil('joined again', () =>
      fleet.hosts.every(
        host => countEvents(host, 'upstream-joined', {upstream: 'i-2'}) === 2,
      ),
    );
  });

  test(`an upstream ${kind} that drains keeps draining if the copy lists it as ready`, async t => {
    // An upstream that had published that it drains got requests again: the
    // copy from which the store was restored held its previous entry.
    const fleet = await startFleet(t, {
      services: ['shop', 'orders', 'orders'],
      paths: [SAFE_PATH],
    });
    const [, leaving] = fleet.hosts;
    fleet.publish(leaving!, {born, seq: 2, slots: 19});
    const copy = fleet.store.takeSnapshot();
    await publishDraining(fleet, leaving!, {born, seq: 3});
    restore(fleet, copy);
    await configureNext(fleet, 2);
    for (const host of fleet.hosts) {
      t.is(countEvents(host, 'upstream-ready'), 0, host.address);
    }
  });
}

test('each restore is logged with the previous epoch', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const {store, hosts} = fleet;
  const copy = store.takeSnapshot();
  await configureNext(fleet, 2);
  restore(fleet, copy);
  await configureNext(fleet, 3);
  restore(fleet, copy);
  await configureNext(fleet, 4);
  for (const {events, metrics} of hosts) {
    const loggedEpochs = events
      .filter(({event}) => event === 'store-restored')
      .map(({fields}) => [fields['epochBefore'], fields['epoch']]);
    t.deepEqual(loggedEpochs, [
      [1, 2],
      [2, 3],
    ]);
    t.regex(await metrics.text(), /store_restored_total 2/);
  }
});

test('the active version stays if the copy holds an older one', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const copy = fleet.store.takeSnapshot();
  await configureNext(fleet, 2);
  restore(fleet, copy);
  await configureNext(fleet, 3);
  for (const {events} of fleet.hosts) {
    const versions = events
      .filter(({event}) => event === 'configuration-accepted')
      .map(({fields}) => fields['configurationVersion']);
    t.deepEqual(versions, [1, 2, 3]);
  }
});
