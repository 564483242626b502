import fc from 'fast-check';
import test from 'ava';
import {createPublishedDocuments} from '../../../platform/documents.js';
import {decodeUpstreamEntry} from '../../../platform/upstream_entry.js';
import {decodeOperatorDocument} from '../../../platform/operator_document.js';

const FACTS = {inboundPort: 8300, regionOfZone: new Map([['a', 'west']])};
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

/** A copy of a document with another value at a path; `undefined` removes it. */
function withValue(document: object, path: Path, value: unknown): string {
  const copy: unknown = structuredClone(document);
  let place = copy as Record<string, unknown>;
  for (const step of path.slice(0, -1)) {
    place = place[step] as Record<string, unknown>;
  }
  const last = path.at(-1) ?? '';
  place[last] = value;
  return JSON.stringify(copy);
}

/** Path of a field, the name that errors tell, and values that must not pass. */
type BrokenField = readonly [Path, string, readonly unknown[]];

const NO_TEXT = [undefined, null, 7, {}, []];
const NO_NAME = [...NO_TEXT, '', ' ', 'a b', 'a\n'];
const NO_COUNT = [undefined, null, '1', 0, -1, 1.5, 1e300, [], {}];
const NO_DURATION = [undefined, null, '1', 0, -1, 1e9, [], {}];

const BROKEN_ENTRY_FIELDS: readonly BrokenField[] = [
  [['born'], 'born', [null, '1', 1.5, -1, 1e300, true, {}]],
  [
    ['address'],
    'address',
    [
      ...NO_TEXT,
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
  [['info', 'service'], 'service', NO_NAME],
  [['info', 'version'], 'version', NO_TEXT],
  [['info', 'zone'], 'zone', [...NO_TEXT, 'b', '']],
  [['info', 'slots'], 'slots', NO_COUNT],
  [['status'], 'status', [undefined, null, 'x', []]],
  [['status', 'state'], 'state', [...NO_TEXT, 'paused', 'READY', '']],
  [['status', 'seq'], 'seq', [undefined, null, '4', -1, 0.5, 1e300]],
  [
    ['status', 'coldLeftS'],
    'coldLeftS',
    [undefined, null, '0', -0.1, 1.797693134862316e305, {}],
  ],
];

const ROUTE = ['virtualHosts', '0', 'paths', '0'];
const SPLIT = [...ROUTE, 'weightedServices'];

const BROKEN_DOCUMENT_FIELDS: readonly BrokenField[] = [
  [
    ['version'],
    'version',
    [...NO_TEXT, '', '1c', '0000001g', '0000000001', '-0000001'],
  ],
  [['services'], 'services', [undefined, null, {}, ['orders']]],
  [['services', '0', 'name'], 'name', NO_NAME],
  [['limits'], 'limits', [undefined, null, []]],
  [['limits', 'maxHeaderBytes'], 'maxHeaderBytes', NO_COUNT],
  [['limits', 'maxBodyBytes'], 'maxBodyBytes', NO_COUNT],
  [['limits', 'headerTimeoutS'], 'headerTimeoutS', NO_DURATION],
  [['limits', 'idleTimeoutS'], 'idleTimeoutS', NO_DURATION],
  [['virtualHosts'], 'virtualHosts', [undefined, null, {}, [1]]],
  [['virtualHosts', '0', 'host'], 'host', NO_NAME],
  [['virtualHosts', '0', 'paths'], 'paths', [undefined, null, {}, [1]]],
  [[...ROUTE, 'name'], 'name', NO_TEXT],
  [[...ROUTE, 'prefix'], 'prefix', [...NO_NAME, '/a', 'a/', 'a', '/a/ /']],
  [[...ROUTE, 'kind'], 'kind', [...NO_TEXT, 'SAFE', 'job', '']],
  [[...ROUTE, 'timeoutS'], 'timeoutS', NO_DURATION],
  [[...ROUTE, 'sloS'], 'sloS', NO_DURATION],
  [[...ROUTE, 'priority'], 'priority', [undefined, null, '0', -1, 0.5]],
  [[...ROUTE, 'maxAttempts'], 'maxAttempts', NO_COUNT],
  [SPLIT, 'weightedServices', ['x', {}, 7, [1]]],
  [SPLIT, 'service', [undefined, null, []]],
  [[...SPLIT, '0', 'service'], 'service', NO_NAME],
  [[...SPLIT, '0', 'weight'], 'weight', [undefined, null, '1', -1]],
  [SPLIT, 'weightedServices', [[{service: 'orders', weight: 0}]]],
];

for (const [path, field, values] of BROKEN_ENTRY_FIELDS) {
  test(`an entry with a broken ${path.join('.')} is refused by field`, t => {
    for (const value of values) {
      const text = withValue(ENTRY, path, value);
      t.throws(() => decodeUpstreamEntry(KEY, text, FACTS), {
        message: new RegExp(`'${field}'`),
      });
    }
  });
}

for (const [path, field, values] of BROKEN_DOCUMENT_FIELDS) {
  test(`a configuration with a broken ${path.join('.')} is refused by field: ${JSON.stringify(values.at(-1))}`, t => {
    for (const value of values) {
      const text = withValue(DOCUMENT, path, value);
      t.throws(() => decodeOperatorDocument(text), {
        message: new RegExp(`'${field}'`),
      });
    }
  });
}

test('an entry may tell its birth, and a host of any form', t => {
  const decode = (path: Path, value: unknown) =>
    decodeUpstreamEntry(KEY, withValue(ENTRY, path, value), FACTS);
  t.is(decode(['born'], 5).bornMillis, 5);
  t.is(decode(['born'], undefined).bornMillis, undefined);
  t.is(decode(['address'], 'host-1.example:80').node.address, 'host-1.example');
  t.is(decode(['address'], '[fd00::1]:80').node.address, 'fd00::1');
});

test('an id that no header can carry is refused', t => {
  const text = JSON.stringify(ENTRY);
  for (const id of ['', 'a b', 'a\r\nx: y', 'é', 'a/b']) {
    t.throws(() => decodeUpstreamEntry(`servers/${id}`, text, FACTS), {
      message: /'key'/,
    });
  }
});

/** A sound document with some of its fields replaced by anything. */
function spoilt(document: object, fields: readonly BrokenField[]) {
  const paths = fields.map(([path]) => path);
  return fc
    .array(fc.tuple(fc.constantFrom(...paths), fc.jsonValue()), {maxLength: 3})
    .map(changes => {
      let text = JSON.stringify(document);
      for (const [path, value] of changes) {
        text = replacedAt(text, path, value);
      }
      return text;
    });
}

/** An earlier change may have taken away what a path leads through. */
function replacedAt(text: string, path: Path, value: unknown): string {
  try {
    return withValue(JSON.parse(text) as object, path, value);
  } catch {
    return text;
  }
}

function anyText(document: object, fields: readonly BrokenField[]) {
  return fc.oneof(
    {arbitrary: spoilt(document, fields), weight: 5},
    fc.json(),
    fc.string({unit: 'binary'}),
    fc
      .uint8Array({maxLength: 200})
      .map(bytes => Buffer.from(bytes).toString('utf8')),
  );
}

const documents = createPublishedDocuments(
  {address: '127.0.0.1', port: 1},
  FACTS,
);

/** The seed found a time that is finite in seconds and not in milliseconds. */
const PROPERTY_RUN = {numRuns: 2000, seed: 301_683_169};

test('no entry throws past the adapter or yields a field that cannot be used', t => {
  let validCount = 0;
  const key = fc.oneof(
    {arbitrary: fc.constant(KEY), weight: 4},
    fc.string({unit: 'binary'}),
  );
  fc.assert(
    fc.property(key, anyText(ENTRY, BROKEN_ENTRY_FIELDS), (name, text) => {
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
          FACTS.regionOfZone.get(entry.zone) === entry.region &&
          entry.node.address.length > 0 &&
          Number.isSafeInteger(entry.slotsCount) &&
          entry.slotsCount >= 1 &&
          Number.isFinite(entry.coldLeftMillis) &&
          entry.coldLeftMillis >= 0 &&
          Number.isSafeInteger(entry.sequenceNumber) &&
          (entry.bornMillis === undefined ||
            Number.isSafeInteger(entry.bornMillis)),
      );
    }),
    PROPERTY_RUN,
  );
  t.true(validCount > 100);
});

test('no configuration throws past the adapter or yields an unusable route', t => {
  let validCount = 0;
  fc.assert(
    fc.property(anyText(DOCUMENT, BROKEN_DOCUMENT_FIELDS), text => {
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

test('what is no text or no JSON names the document, not its content', t => {
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
