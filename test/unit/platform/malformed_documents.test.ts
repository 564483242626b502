import fc from 'fast-check';
import test from 'ava';
import {createPublishedDocuments} from '../../../platform/documents.js';
import {decodeUpstreamEntry} from '../../../platform/upstream_entry.js';
import {decodeOperatorDocument} from '../../../platform/operator_document.js';

const TOPOLOGY = {inboundPort: 8300, regionOfZone: new Map([['a', 'west']])};
const KEY = 'servers/i-7';

const ENTRY = {
  born: 1_790_000_000_000,
  address: '10.128.0.9:8080',
  info: {service: 'orders', version: 'v1', zone: 'a', slots: 91},
  status: {state: 'ready', seq: 4, coldLeftS: 0},
};

const DOCUMENT = {
  version: '0000001c',
  services: [{name: 'orders', healthPath: '/healthz'}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1000,
    headerTimeoutS: 3,
    idleTimeoutS: 1.5,
  },
  virtualHosts: [
    {
      host: 'shop.example',
      paths: [
        {
          name: 'r-1',
          prefix: '/a/',
          kind: 'safe',
          timeoutS: 1,
          sloS: 0.4,
          priority: 0,
          maxAttempts: 2,
          weightedServices: [
            {service: 'orders', weight: 90},
            {service: 'atlas', weight: 10},
          ],
        },
      ],
    },
  ],
};

type Path = readonly string[];

/**
 * Returns a copy of a document with the value at a path replaced; `undefined`
 * removes it.
 */
function withValue(document: object, path: Path, value: unknown): string {
  const copy: unknown = structuredClone(document);
  let parent = copy as Record<string, unknown>;
  for (const step of path.slice(0, -1)) {
    parent = parent[step] as Record<string, unknown>;
  }
  const last = path.at(-1) ?? '';
  parent[last] = value;
  return JSON.stringify(copy);
}

/** Path of a field, its name in errors, and values that must be rejected. */
type InvalidField = readonly [Path, string, readonly unknown[]];

const INVALID_STRINGS = [undefined, null, 7, {}, []];
const INVALID_NAMES = [...INVALID_STRINGS, '', ' ', 'a b', 'a\n'];
const INVALID_COUNTS = [undefined, null, '1', 0, -1, 1.5, 1e300, [], {}];
const INVALID_DURATIONS = [undefined, null, '1', 0, -1, 1e9, [], {}];

const INVALID_ENTRY_FIELDS: readonly InvalidField[] = [
  [['born'], 'born', [null, '1', 1.5, -1, 1e300, true, {}]],
  [
    ['address'],
    'address',
    [
      ...INVALID_STRINGS,
      '',
      '10.0.0.1',
      ':80',
      '10.0.0.1:',
      '10.0.0.1:0',
      '10.0.0.1:65536',
      '10.0.0.1:8a',
      '10.0.0.1:-1',
      '10.0.0.1: 80',
      'a b:80',
      '::1:80',
      '[10.0.0.1]:80',
      '10.0.0.1:80\n',
    ],
  ],
  [['info'], 'info', [undefined, null, 'x', []]],
  [['info', 'service'], 'service', INVALID_NAMES],
  [['info', 'version'], 'version', INVALID_STRINGS],
  [['info', 'zone'], 'zone', [...INVALID_STRINGS, 'b', '']],
  [['info', 'slots'], 'slots', INVALID_COUNTS],
  [['status'], 'status', [undefined, null, 'x', []]],
  [['status', 'state'], 'state', [...INVALID_STRINGS, 'paused', 'READY', '']],
  [['status', 'seq'], 'seq', [undefined, null, '4', -1, 0.5, 1e300]],
  [
    ['status', 'coldLeftS'],
    'coldLeftS',
    [undefined, null, '0', -0.1, 1.797693134862316e305, {}],
  ],
];

const ROUTE = ['virtualHosts', '0', 'paths', '0'];
const SPLIT = [...ROUTE, 'weightedServices'];

const INVALID_DOCUMENT_FIELDS: readonly InvalidField[] = [
  [
    ['version'],
    'version',
    [...INVALID_STRINGS, '', '1c', '0000001g', '0000000001', '-0000001'],
  ],
  [['services'], 'services', [undefined, null, {}, ['orders']]],
  [['services', '0', 'name'], 'name', INVALID_NAMES],
  [['limits'], 'limits', [undefined, null, []]],
  [['limits', 'maxHeaderBytes'], 'maxHeaderBytes', INVALID_COUNTS],
  [['limits', 'maxBodyBytes'], 'maxBodyBytes', INVALID_COUNTS],
  [['limits', 'headerTimeoutS'], 'headerTimeoutS', INVALID_DURATIONS],
  [['limits', 'idleTimeoutS'], 'idleTimeoutS', INVALID_DURATIONS],
  [['virtualHosts'], 'virtualHosts', [undefined, null, {}, [1]]],
  [['virtualHosts', '0', 'host'], 'host', INVALID_NAMES],
  [['virtualHosts', '0', 'paths'], 'paths', [undefined, null, {}, [1]]],
  [[...ROUTE, 'name'], 'name', INVALID_STRINGS],
  [
    [...ROUTE, 'prefix'],
    'prefix',
    [...INVALID_NAMES, '/a', 'a/', 'a', '/a/ /'],
  ],
  [[...ROUTE, 'kind'], 'kind', [...INVALID_STRINGS, 'SAFE', 'job', '']],
  [[...ROUTE, 'timeoutS'], 'timeoutS', INVALID_DURATIONS],
  [[...ROUTE, 'sloS'], 'sloS', INVALID_DURATIONS],
  [[...ROUTE, 'priority'], 'priority', [undefined, null, '0', -1, 0.5]],
  [[...ROUTE, 'maxAttempts'], 'maxAttempts', INVALID_COUNTS],
  [SPLIT, 'weightedServices', ['x', {}, 7, [1]]],
  [SPLIT, 'service', [undefined, null, []]],
  [[...SPLIT, '0', 'service'], 'service', INVALID_NAMES],
  [[...SPLIT, '0', 'weight'], 'weight', [undefined, null, '1', -1]],
  [SPLIT, 'weightedServices', [[{service: 'orders', weight: 0}]]],
];

for (const [path, field, values] of INVALID_ENTRY_FIELDS) {
  test(`an entry with an invalid ${path.join('.')} is rejected by field`, t => {
    for (const value of values) {
      const text = withValue(ENTRY, path, value);
      t.throws(() => decodeUpstreamEntry(KEY, text, TOPOLOGY), {
        message: new RegExp(`'${field}'`),
      });
    }
  });
}

for (const [path, field, values] of INVALID_DOCUMENT_FIELDS) {
  test(`a configuration with an invalid ${path.join('.')} is rejected by field: ${JSON.stringify(values.at(-1))}`, t => {
    for (const value of values) {
      const text = withValue(DOCUMENT, path, value);
      t.throws(() => decodeOperatorDocument(text), {
        message: new RegExp(`'${field}'`),
      });
    }
  });
}

test('an entry may contain its start time and a host in any format', t => {
  const decode = (path: Path, value: unknown) =>
    decodeUpstreamEntry(KEY, withValue(ENTRY, path, value), TOPOLOGY);
  t.is(decode(['born'], 5).bornMillis, 5);
  t.is(decode(['born'], undefined).bornMillis, undefined);
  t.is(decode(['address'], 'host-1.example:80').node.address, 'host-1.example');
  t.is(decode(['address'], '[fd00::1]:80').node.address, 'fd00::1');
});

test('an id that cannot be sent in a header is rejected', t => {
  const text = JSON.stringify(ENTRY);
  for (const id of ['', 'a b', 'a\r\nx: y', 'é', 'a/b']) {
    t.throws(() => decodeUpstreamEntry(`servers/${id}`, text, TOPOLOGY), {
      message: /'key'/,
    });
  }
});

/** Generates a valid document with some fields replaced by random values. */
function withRandomFields(document: object, fields: readonly InvalidField[]) {
  const paths = fields.map(([path]) => path);
  return fc
    .array(fc.tuple(fc.constantFrom(...paths), fc.jsonValue()), {maxLength: 3})
    .map(changes => {
      let text = JSON.stringify(document);
      for (const [path, value] of changes) {
        text = replaceIfPresent(text, path, value);
      }
      return text;
    });
}

/**
 * Returns the text unchanged if an earlier change removed a parent of the path.
 */
function replaceIfPresent(text: string, path: Path, value: unknown): string {
  try {
    return withValue(JSON.parse(text) as object, path, value);
  } catch {
    return text;
  }
}

function arbitraryText(document: object, fields: readonly InvalidField[]) {
  return fc.oneof(
    {arbitrary: withRandomFields(document, fields), weight: 5},
    fc.json(),
    fc.string({unit: 'binary'}),
    fc
      .uint8Array({maxLength: 200})
      .map(bytes => Buffer.from(bytes).toString('utf8')),
  );
}

const documents = createPublishedDocuments(
  {address: '127.0.0.1', port: 1},
  TOPOLOGY,
);

/**
 * This seed found a duration that is finite in seconds but not in milliseconds.
 */
const PROPERTY_RUN = {numRuns: 2000, seed: 301_683_169};

test('no entry causes an uncaught error or yields an invalid field', t => {
  let validCount = 0;
  const key = fc.oneof(
    {arbitrary: fc.constant(KEY), weight: 4},
    fc.string({unit: 'binary'}),
  );
  fc.assert(
    fc.property(
      key,
      arbitraryText(ENTRY, INVALID_ENTRY_FIELDS),
      (name, text) => {
        const decoded = documents.decodeUpstreams({
          key: name,
          revision: 1,
          text,
        });
        if (decoded.kind !== 'valid') return decoded.kind === 'invalid';
        validCount += 1;
        return decoded.value.every(
          entry =>
            entry.id.length > 0 &&
            entry.service.length > 0 &&
            TOPOLOGY.regionOfZone.get(entry.zone) === entry.region &&
            entry.node.address.length > 0 &&
            Number.isSafeInteger(entry.slotsCount) &&
            entry.slotsCount >= 1 &&
            Number.isFinite(entry.coldLeftMillis) &&
            entry.coldLeftMillis >= 0 &&
            Number.isSafeInteger(entry.sequenceNumber) &&
            (entry.bornMillis === undefined ||
              Number.isSafeInteger(entry.bornMillis)),
        );
      },
    ),
    PROPERTY_RUN,
  );
  t.true(validCount > 100);
});

test('no configuration causes an uncaught error or yields an invalid route', t => {
  let validCount = 0;
  fc.assert(
    fc.property(arbitraryText(DOCUMENT, INVALID_DOCUMENT_FIELDS), text => {
      const decoded = documents.decodeConfiguration({
        key: 'op/config',
        revision: 1,
        text,
      });
      if (decoded.kind !== 'valid') return decoded.kind === 'invalid';
      validCount += 1;
      const {limits, version} = decoded.value;
      const route = decoded.value.match({
        method: 'GET',
        host: 'shop.example',
        target: '/a/1',
      });
      return (
        Number.isSafeInteger(version) &&
        Object.values(limits).every(value => value > 0) &&
        (route === undefined ||
          (route.timeoutMillis > 0 &&
            route.maxAttemptsCount >= 1 &&
            route.rank >= 0 &&
            route.targets.some(({weightRatio}) => weightRatio > 0) &&
            route.targets.every(({weightRatio}) => weightRatio >= 0)))
      );
    }),
    PROPERTY_RUN,
  );
  t.true(validCount > 100);
});

test('the error for invalid text or JSON names the document, not its content', t => {
  for (const text of ['', '{', '\ufffd', 'null', '[]', '"x"']) {
    const decoded = documents.decodeUpstreams({key: KEY, revision: 1, text});
    t.like(decoded, {kind: 'invalid', field: 'entry'});
  }
  const secret = `{"address": secret`;
  const decoded = documents.decodeUpstreams({
    key: KEY,
    revision: 1,
    text: secret,
  });
  t.false(JSON.stringify(decoded).includes('secret'));
});
