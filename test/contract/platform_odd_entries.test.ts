/**
 * Entries of another writer that are valid JSON with extreme contents, beside those of
 * healthy upstreams, on real node processes.
 */
import test from 'ava';
import {encodeBase64} from '../fakes/fake_store.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import type {ProcessFleet} from '../fakes/process_fleet.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from '../fakes/process_fleet.js';
import {waitUntil} from '../fakes/wait_until.js';

const LEVELS_COUNT = 200_000;
const NESTED_TEXT = `${'['.repeat(LEVELS_COUNT)}${']'.repeat(LEVELS_COUNT)}`;
const MAX_INTEGER_TEXT = String(Number.MAX_SAFE_INTEGER);
const LONG_NUMBER_TEXT = '9'.repeat(100_000);
/** Nothing listens there. */
const UNUSED_ADDRESS = '127.0.0.77';

type Fields = Readonly<Record<string, string>>;

/** Returns an entry of an upstream; the fields are JSON texts. */
function entryText(fields: Fields = {}): string {
  const {service = '"orders"', slots = '20', seq = '1'} = fields;
  const {version = '"v1"', coldLeftS = '0', born = '1790000000000'} = fields;
  const {address = `"${UNUSED_ADDRESS}:9000"`, extra = '1'} = fields;
  return (
    `{"address":${address},"born":${born},"extra":${extra},` +
    `"info":{"service":${service},"version":${version},"zone":"zone-a",` +
    `"slots":${slots}},` +
    `"status":{"state":"ready","seq":${seq},"coldLeftS":${coldLeftS}}}`
  );
}

const INVALID_TEXTS: readonly string[] = [
  NESTED_TEXT,
  '['.repeat(LEVELS_COUNT),
  ...['address', 'service', 'version', 'slots', 'seq', 'coldLeftS', 'born'].map(
    name => entryText({[name]: NESTED_TEXT}),
  ),
  ...['slots', 'seq', 'coldLeftS', 'born'].flatMap(name =>
    ['1e999', '-1e999', '1e308', LONG_NUMBER_TEXT].map(number =>
      entryText({[name]: number}),
    ),
  ),
  ...['0', '-1', '65536', '99999', '9'.repeat(300)].map(port =>
    entryText({address: `"${UNUSED_ADDRESS}:${port}"`}),
  ),
];

const UNUSUAL_TEXTS: readonly string[] = [
  entryText({extra: NESTED_TEXT}),
  entryText({extra: LONG_NUMBER_TEXT}),
  entryText({slots: MAX_INTEGER_TEXT}),
  entryText({seq: MAX_INTEGER_TEXT, born: MAX_INTEGER_TEXT}),
  entryText({service: `"${'s'.repeat(10_000)}"`}),
];

function putEntries(fleet: ProcessFleet): void {
  for (const [index, text] of [...INVALID_TEXTS, ...UNUSUAL_TEXTS].entries()) {
    fleet.store.putRaw(`servers/odd-${String(index)}`, encodeBase64(text));
  }
  for (const key of ['', 'é', 'x'.repeat(192), '__proto__', 'a/b']) {
    fleet.store.putRaw(`servers/${key}`, encodeBase64(NESTED_TEXT));
  }
}

/** Sends reads to a node and returns those that were not served. */
async function failuresOf(
  fleet: ProcessFleet,
  index: number,
  count: number,
): Promise<readonly number[]> {
  const statusCodes: number[] = [];
  for (let read = 0; read < count; read += 1) {
    const attemptId = `r-${String(index)}-${String(read)}`;
    const {statusCode} = await fleet.send(index, {attemptId, path: '/a/1'});
    statusCodes.push(statusCode);
  }
  return statusCodes.filter(statusCode => statusCode !== 200);
}

test('nodes outlast odd entries of another writer and follow the next change', async t => {
  // Guards against nodes that end when they read the list, or that no longer follow it.
  const fleet = await startProcessFleet(
    t,
    ['shop', 'orders', 'orders'],
    [SAFE_PATH],
  );
  await waitForVersion(fleet.hosts, 1);
  await waitForAllUpstreams(fleet.hosts);
  let endedCount = 0;
  for (const {process} of fleet.hosts) {
    void process.ended.then(() => (endedCount += 1));
  }
  putEntries(fleet);
  fleet.configure(2);
  await waitForVersion(fleet.hosts, 2);
  t.deepEqual(await failuresOf(fleet, 0, 20), []);
  t.is(endedCount, 0);

  fleet.restart(0);
  await waitForVersion([fleet.hosts[0]!], 2);
  await waitUntil('listed', () =>
    fleet.hosts[0]!.lines.some(
      ({event, upstream}) => event === 'upstream-joined' && upstream === 'i-2',
    ),
  );
  t.deepEqual(await failuresOf(fleet, 0, 20), []);

  fleet.publish(1, {seq: 2, state: 'draining'});
  await waitUntil('draining', () =>
    fleet.hosts.every(({lines}) =>
      lines.some(
        ({event, upstream}) =>
          event === 'upstream-draining' && upstream === 'i-1',
      ),
    ),
  );
  t.deepEqual(await failuresOf(fleet, 0, 20), []);
  t.is(endedCount, 1);
  const invalidCount = fleet.hosts.map(
    ({lines}) => lines.filter(({event}) => event === 'upstream-invalid').length,
  );
  t.true(invalidCount.every(count => count > 0));
});
