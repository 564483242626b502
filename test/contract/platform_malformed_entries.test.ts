import test from 'ava';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {encodeBase64} from '../fakes/fake_store.js';
import {startFleet} from '../fakes/test_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Returns an entry of an `orders` upstream that is valid except for the given
 * fields.
 */
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

/**
 * Malformed entries that another writer may leave, with the field in the log.
 */
const MALFORMED_ENTRIES: ReadonlyArray<
  readonly [string, string, (address: string) => string | undefined]
> = [
  [
    'an unnamed state',
    'state',
    at => encodeBase64(entryText(at, {}, {state: 'paused'})),
  ],
  [
    'no state',
    'state',
    at => encodeBase64(entryText(at, {}, {state: undefined})),
  ],
  [
    'no slots',
    'slots',
    at => encodeBase64(entryText(at, {info: {slots: undefined}})),
  ],
  [
    'slots of none',
    'slots',
    at => encodeBase64(entryText(at, {info: {slots: 0}})),
  ],
  [
    'slots as text',
    'slots',
    at => encodeBase64(entryText(at, {info: {slots: '20'}})),
  ],
  [
    'an unnamed zone',
    'zone',
    at => encodeBase64(entryText(at, {info: {zone: 'z'}})),
  ],
  [
    'no port',
    'address',
    at => encodeBase64(entryText(at.replace(/:.*/, ''), {})),
  ],
  [
    'a start time as text',
    'born',
    at => encodeBase64(entryText(at, {born: '1790000000000'})),
  ],
  ['a list', 'entry', () => encodeBase64('[1]')],
  [
    'half an entry',
    'entry',
    at => encodeBase64(entryText(at, {}).slice(0, 40)),
  ],
  ['no base64', 'entry', () => '!!not base64!!'],
  [
    'no text',
    'entry',
    at => Buffer.from(entryText(at, {x: '\xff'}), 'latin1').toString('base64'),
  ],
  ['nothing', 'entry', () => ''],
  ['no value', 'entry', () => undefined],
];

/** Whether a node logged an invalid entry with this key and field. */
function hasLoggedInvalid(
  host: FleetHost,
  key: string,
  field: string,
): boolean {
  return host.events.some(
    ({event, fields}) =>
      event === 'upstream-invalid' &&
      fields['key'] === key &&
      fields['field'] === field,
  );
}

/** Sends reads one after the other and returns their status codes. */
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
const REJECTED = [503, 503, 503, 503, 503];

test('a malformed entry of another writer is ignored and the others stay in use', async t => {
  // Guards against entries that are used without validation: requests are sent
  // to a host that serves nothing, or one entry keeps a node from reading all
  // others. The `spare` host is the address in these entries.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders', 'spare'],
    paths: [SAFE_PATH],
  });
  const [shop, orders, spare] = fleet.hosts;
  const address = `${spare!.address}:${String(fleet.appPort)}`;
  fleet.withdraw(spare!);
  for (const [title, field, valueOf] of MALFORMED_ENTRIES) {
    const key = `servers/${title.replaceAll(' ', '-')}`;
    fleet.store.putRaw(key, valueOf(address));
    await waitUntil(title, () => hasLoggedInvalid(shop!, key, field));
    t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED, title);
    t.is(spare!.upstream.runIds.length, 0, title);
  }
  t.is(
    orders!.upstream.runIds.length,
    MALFORMED_ENTRIES.length * SERVED.length,
  );
  const metrics = await shop!.metrics.text();
  const count = String(MALFORMED_ENTRIES.length);
  t.true(metrics.includes(`invalid_documents_total{kind="upstream"} ${count}`));
});

test('an entry of a service without a configuration is kept until there is one', async t => {
  // The store may deliver an upstream before the version that contains its
  // service; a dropped entry would not be written again.
  const fleet = await startFleet(t, {
    services: ['shop', 'later'],
    declaredServices: ['shop'],
    paths: [SAFE_PATH],
  });
  const [shop, later] = fleet.hosts;
  await waitUntil('logged', () =>
    shop!.events.some(
      ({event, fields}) =>
        event === 'upstream-unnamed' &&
        fields['upstream'] === later!.upstream.id,
    ),
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), REJECTED);
  fleet.configure([{...SAFE_PATH, service: 'later'}]);
  await waitUntil(
    'active',
    () =>
      shop!.events.filter(({event}) => event === 'configuration-accepted')
        .length === 2,
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
});

test('a malformed entry under the key of a known upstream does not remove it', async t => {
  // Guards against the loss of a service for a second when its entries are
  // overwritten: an unreadable entry was treated as the removal of the
  // upstream.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  const key = `servers/${orders!.upstream.id}`;
  fleet.store.putRaw(key, encodeBase64('{"state":'));
  await waitUntil('logged', () => hasLoggedInvalid(shop!, key, 'entry'));
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
  // A removal comes from the platform and takes effect immediately.
  fleet.withdraw(orders!);
  await waitUntil('left', () =>
    shop!.events.some(
      ({event, fields}) =>
        event === 'upstream-left' && fields['upstream'] === orders!.upstream.id,
    ),
  );
  t.deepEqual(await statusesOf(fleet, shop!, 5), REJECTED);
});

test('an invalid configuration leaves the accepted one active', async t => {
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop] = fleet.hosts;
  const loggedCount = (): number =>
    shop!.events.filter(({event}) => event === 'configuration-invalid').length;
  fleet.configure([{...SAFE_PATH, prefix: '/a', maxAttempts: 0}]);
  // A node that receives documents from a peer gets only the last of two quick
  // writes.
  await waitUntil('the first logged', () => loggedCount() === 1);
  fleet.store.putRaw('op/config', '%%%');
  await waitUntil('both logged', () => loggedCount() === 2);
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
  const metrics = await shop!.metrics.text();
  t.regex(metrics, /invalid_documents_total\{kind="configuration"\} 2/);
});

test('an entry with an extreme sequence number under the key of a known upstream does not hide its next entry', async t => {
  // Guards against a node that no longer follows an upstream, and sends requests to one
  // that is leaving.
  const fleet = await startFleet(t, {
    services: ['shop', 'orders'],
    paths: [SAFE_PATH],
  });
  const [shop, orders] = fleet.hosts;
  const born = 1_790_000_000_000;
  fleet.publish(orders!, {born, seq: 2});
  await waitUntil('restarted', () =>
    shop!.events.some(({event}) => event === 'upstream-restarted'),
  );
  fleet.publish(orders!, {born, seq: Number.MAX_SAFE_INTEGER});
  t.deepEqual(await statusesOf(fleet, shop!, 5), SERVED);
  fleet.publish(orders!, {born, seq: 3, state: 'draining'});
  await waitUntil('draining', () =>
    shop!.events.some(({event}) => event === 'upstream-draining'),
  );
});
