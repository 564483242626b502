import test from 'ava';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {base64Of} from '../fakes/stand_in_store.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

type Fields = Readonly<Record<string, unknown>>;

/** A sound entry of an upstream of `orders`, but for what is given. */
function entryText(address: string, fields: Fields, status: Fields = {}) {
  const {info, ...rest} = fields;
  return JSON.stringify({
    address,
    info: {
      service: 'orders',
      version: 'v1',
      zone: 'zone-a',
      slots: 20,
      ...(info as Fields | undefined),
    },
    status: {state: 'ready', seq: 1, coldLeftS: 0, ...status},
    ...rest,
  });
}

/** What another writer may leave, with the field that is named in the log. */
const FOREIGN_ENTRIES: ReadonlyArray<
  readonly [string, string, (address: string) => string | undefined]
> = [
  [
    'an unnamed state',
    'state',
    at => base64Of(entryText(at, {}, {state: 'paused'})),
  ],
  ['no state', 'state', at => base64Of(entryText(at, {}, {state: undefined}))],
  [
    'no slots',
    'slots',
    at => base64Of(entryText(at, {info: {slots: undefined}})),
  ],
  ['slots of none', 'slots', at => base64Of(entryText(at, {info: {slots: 0}}))],
  [
    'slots as text',
    'slots',
    at => base64Of(entryText(at, {info: {slots: '20'}})),
  ],
  [
    'an unnamed zone',
    'zone',
    at => base64Of(entryText(at, {info: {zone: 'z'}})),
  ],
  ['no port', 'address', at => base64Of(entryText(at.replace(/:.*/, ''), {}))],
  [
    'a birth as text',
    'born',
    at => base64Of(entryText(at, {born: '1790000000000'})),
  ],
  ['a list', 'entry', () => base64Of('[1]')],
  ['half an entry', 'entry', at => base64Of(entryText(at, {}).slice(0, 40))],
  ['no base64', 'entry', () => '!!not base64!!'],
  [
    'no text',
    'entry',
    at => Buffer.from(entryText(at, {x: '\xff'}), 'latin1').toString('base64'),
  ],
  ['nothing', 'entry', () => ''],
  ['no value', 'entry', () => undefined],
];

/** Whether a node told of a broken entry under a key. */
function hasTold(host: FleetHost, key: string, field: string): boolean {
  return host.events.some(
    ({event, fields}) =>
      event === 'upstream-invalid' &&
      fields['key'] === key &&
      fields['field'] === field,
  );
}

/** Sends reads one after the other, and tells the status of each. */
async function statusesOf(
  fleet: PlatformFleet,
  from: FleetHost,
  count: number,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    const attemptId = `r${String(index)}`;
    const answer = await fleet.send(from, {attemptId, path: '/a/1'});
    statuses.push(answer.statusCode);
  }
  return statuses;
}

const SERVED = [200, 200, 200, 200, 200];
const REFUSED = [503, 503, 503, 503, 503];

test('an entry of another writer names no upstream, and the others hold', async t => {
  // Symptom: requests are sent to a host that serves nothing, or one entry keeps
  // a node from reading all others. Cause: what the entry says is used without a
  // check. The host of `spare` stands for what such an entry may name.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'spare'],
    paths: [SAFE_PATH],
  });
  const [shop, orders, spare] = fleet.hosts;
  const address = `${spare!.address}:${String(fleet.appPort)}`;
  fleet.withdraw(spare!);
  for (const [title, field, valueOf] of FOREIGN_ENTRIES) {
    const key = `servers/${title.replaceAll(' ', '-')}`;
    fleet.store.putRaw(key, valueOf(address));
    await waitUntil(title, () => hasTold(shop!, key, field));
    t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED, title);
    t.is(spare!.backend.runIds.length, 0, title);
  }
  t.is(orders!.backend.runIds.length, FOREIGN_ENTRIES.length * SERVED.length);
  const metrics = await shop!.metrics.text();
  const count = String(FOREIGN_ENTRIES.length);
  t.true(metrics.includes(`invalid_documents_total{kind="upstream"} ${count}`));
});

test('an entry of a service that no configuration names waits for it', async t => {
  // The store may tell a node of an upstream before it tells of the version that
  // names its service; an entry that was dropped would not be written again.
  const fleet = await startFleet(t, {
    services: ['shop', 'later'],
    namedServices: ['shop'],
    paths: [SAFE_PATH],
  });
  const [shop, later] = fleet.hosts;
  await waitUntil('told', () =>
    shop!.events.some(
      ({event, fields}) =>
        event === 'upstream-unnamed' &&
        fields['upstream'] === later!.backend.id,
    ),
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), REFUSED);
  fleet.configure([{...SAFE_PATH, service: 'later'}]);
  await waitUntil(
    'in force',
    () =>
      shop!.events.filter(({event}) => event === 'configuration-accepted')
        .length === 2,
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
});

test('a known upstream outlives an entry of another writer under its key', async t => {
  // Symptom: a service is gone for a second, as somebody wrote over its entries.
  // Cause: an entry that says nothing was taken for one that the upstream left.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  const key = `servers/${orders!.backend.id}`;
  fleet.store.putRaw(key, base64Of('{"state":'));
  await waitUntil('told', () => hasTold(shop!, key, 'entry'));
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
  // A removal is the platform's own word, and holds at once.
  fleet.withdraw(orders!);
  await waitUntil('left', () =>
    shop!.events.some(
      ({event, fields}) =>
        event === 'upstream-left' && fields['upstream'] === orders!.backend.id,
    ),
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), REFUSED);
});

test('a broken configuration leaves the accepted one in force', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop] = fleet.hosts;
  const toldCount = (): number =>
    shop!.events.filter(({event}) => event === 'configuration-invalid').length;
  fleet.configure([{...SAFE_PATH, prefix: '/a', maxAttempts: 0}]);
  // A node that is told by another one gets the last of two quick writes alone.
  await waitUntil('the first told', () => toldCount() === 1);
  fleet.store.putRaw('op/config', '%%%');
  await waitUntil('both told', () => toldCount() === 2);
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
  const metrics = await shop!.metrics.text();
  t.regex(metrics, /invalid_documents_total\{kind="configuration"\} 2/);
});
