import test from 'ava';
import {decodeUpstreamEntry} from '../../../platform/upstream_entry.js';
import {
  decodeOperatorDocument,
  redactOperatorDocument,
} from '../../../platform/operator_document.js';
import {decodeSettings, decodeZoneRegions} from '../../../platform/settings.js';
import {apiKeyDigest} from '../../../src/version/organisation.js';

const DOCUMENT = {
  version: '0000001c',
  services: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1000,
    headerTimeoutS: 3,
    idleTimeoutS: 1.5,
  },
  virtualHosts: [
    {
      host: 'Shop.example',
      paths: [
        {
          name: 'r-1',
          prefix: '/a/',
          kind: 'unsafe',
          timeoutS: 1.2,
          sloS: 0.4,
          priority: 2,
          maxAttempts: 2,
          service: 'orders',
        },
        {
          name: 'r-2',
          prefix: '/b/',
          kind: 'download',
          timeoutS: 1,
          sloS: 0.4,
          priority: 0,
          maxAttempts: 3,
          weightedServices: [
            {service: 'orders', weight: 90},
            {service: 'atlas', weight: 10},
          ],
        },
      ],
    },
  ],
};

test('the configuration is decoded with units and defaults', t => {
  const decoded = decodeOperatorDocument(JSON.stringify(DOCUMENT));
  t.is(decoded.version, 28);
  t.is(decoded.limits.idleMillis, 1500);
  const [first, second] = decoded.routes;
  t.like(first, {
    hostName: 'shop.example',
    repeat: 'once',
    timeoutMillis: 1200,
    targets: [{service: 'orders', weightRatio: 1}],
  });
  t.like(second, {
    repeat: 'repeatable',
    maxAttemptsCount: 3,
    targets: [
      {service: 'orders', weightRatio: 90},
      {service: 'atlas', weightRatio: 10},
    ],
  });
});

const INVALID_DOCUMENTS: ReadonlyArray<readonly [string, string, RegExp]> = [
  ['no JSON', '{', /JSON/],
  ['not an object', '[]', /configuration/],
  ['no hosts', JSON.stringify({...DOCUMENT, virtualHosts: 1}), /virtualHosts/],
  ['no version', JSON.stringify({...DOCUMENT, version: 3}), /version/],
  ['no limits', JSON.stringify({...DOCUMENT, limits: null}), /limits/],
];

for (const [title, text, expected] of INVALID_DOCUMENTS) {
  test(`an invalid configuration is rejected with the field: ${title}`, t => {
    t.throws(() => decodeOperatorDocument(text), {message: expected});
  });
}

test('an entry is decoded, with the address of its host', t => {
  const entry = decodeUpstreamEntry(
    'servers/i-7',
    JSON.stringify({
      address: '10.128.0.9:8080',
      info: {service: 'orders', version: 'v1', zone: 'a', slots: 91},
      status: {state: 'draining', seq: 4, coldLeftS: 1.5},
    }),
    {inboundPort: 8300, regionOfZone: new Map([['a', 'west']])},
  );
  t.deepEqual(entry, {
    id: 'i-7',
    bornMillis: undefined,
    sequenceNumber: 4,
    service: 'orders',
    hostKey: '10.128.0.9:8080',
    node: {address: '10.128.0.9', port: 8300},
    zone: 'a',
    region: 'west',
    slotsCount: 91,
    isDraining: true,
    coldLeftMillis: 1500,
  });
});

const SETTINGS = `
node: "sidecar-a-1"
ip: "10.1.0.8"
zone: "a"
region: "west"
zones:
  a: "west"
listen:
  inbound: "10.1.0.8:8300"
  outbound: "10.1.0.8:8304"
  readyAddr: "10.1.0.8:8302"
bounds:
  - "reuseAfterS=3"
  - "drainS=2"
  - "graceS=6"
  - "retryBudgetRatio=0.2"
  - "budgetWindowS=10"
  - "budgetSlack=47"
  - "newThing=true"
heartbeatS: 1.5
appAddr: "10.1.0.8:8301"
service: "orders"
unknown: 1
platform:
  address: "10.200.1.7:8309"
`;

test('settings are decoded and unknown fields are ignored', t => {
  const settings = decodeSettings(SETTINGS);
  t.like(settings, {
    nodeName: 'sidecar-a-1',
    graceMillis: 6000,
    heartbeatMillis: 1500,
    addressReuseMillis: 3000,
    applyWithinMillis: 2000,
    repeatBound: {ratio: 0.2, windowMillis: 10_000, slackCount: 47},
    quotaBound: {windowMillis: 5000, overageRatio: 0.25, slackCount: 20},
    outbound: {address: '10.1.0.8', port: 8304},
    store: {address: '10.200.1.7', port: 8309},
  });
  t.is(decodeZoneRegions(SETTINGS).get('a'), 'west');
});

test('settings with a missing field are rejected with its name', t => {
  const broken = SETTINGS.replace('service: "orders"\n', '');
  t.throws(() => decodeSettings(broken), {message: /service/});
  t.throws(() => decodeSettings('listen: [\n'), {message: /./});
});

const TENANT = {
  name: 'acme',
  apiKeys: ['first-key', 'second-key'],
  priority: 1,
  ratePerS: 12.5,
  burst: 3,
};

function withTenants(tenants: unknown): string {
  return JSON.stringify({...DOCUMENT, tenants});
}

test('organisations are decoded with digests in place of keys', t => {
  const tenants = [TENANT, {name: 'globex', apiKeys: [], ratePerS: 0}];
  const {organisations} = decodeOperatorDocument(withTenants(tenants));
  t.deepEqual(organisations, [
    {
      name: 'acme',
      keyDigests: [apiKeyDigest('first-key'), apiKeyDigest('second-key')],
      rank: 1,
      quota: {ratePerSecond: 12.5, burstCount: 3},
    },
    {name: 'globex', keyDigests: [], rank: 0, quota: undefined},
  ]);
  const without = decodeOperatorDocument(JSON.stringify(DOCUMENT));
  t.deepEqual(without.organisations, []);
});

test('a document with invalid or ambiguous organisations is rejected without exposing a key', t => {
  const broken = [
    [{...TENANT, name: 'a\u0007b'}],
    [{...TENANT, name: ''}],
    [{...TENANT, apiKeys: ['']}],
    [{...TENANT, apiKeys: ['first-key', 7]}],
    [{...TENANT, ratePerS: -1}],
    [{...TENANT, priority: -1}],
    [TENANT, {...TENANT, name: 'globex'}],
    {acme: TENANT},
  ];
  for (const tenants of broken) {
    const error = t.throws(() => decodeOperatorDocument(withTenants(tenants)));
    t.false(error.message.includes('first-key'));
  }
});

test('a document redacted for operators contains no key', t => {
  const shown = redactOperatorDocument(withTenants([TENANT]));
  t.false(/first-key|second-key/.test(shown));
  t.true(shown.includes(apiKeyDigest('first-key').slice(0, 8)));
  t.false(shown.includes(apiKeyDigest('first-key')));
  const plain = JSON.stringify(DOCUMENT);
  t.is(redactOperatorDocument(plain), plain);
});
