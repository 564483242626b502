/**
 * The example documents are accepted and protect what must not run twice.
 */
import {readFileSync} from 'node:fs';
import test from 'ava';
import {parseHostList} from '../../../src/version/host_list_schema.js';
import {findPolicyWarnings} from '../../../src/version/policy_warnings.js';
import {compileOrThrow} from '../../fakes/policy_documents.js';

const EXAMPLES_URL = new URL('../../../../examples/', import.meta.url);

interface ExpectedExample {
  readonly deployment: string;
  /** Upstreams, slots and connections of each service. */
  readonly sizes: Readonly<Record<string, readonly [number, number, number]>>;
  /** Routes that must run at most once, with their class. */
  readonly keyedRoutes: readonly (readonly [string, string])[];
  /** Routes for other services only, which go without a key. */
  readonly warningPaths: readonly string[];
}

const examples: readonly ExpectedExample[] = [
  {
    deployment: 'ilorin',
    sizes: {
      atlas: [4, 80, 570],
      orderdesk: [3, 100, 720],
      tileyard: [3, 100, 720],
      catalogue: [3, 25, 250],
    },
    keyedRoutes: [['place-terrain-order', 'terrain-orders']],
    warningPaths: ['$.services[3].routes[3].isKeyRequired'],
  },
  {
    deployment: 'tunis',
    sizes: {
      crewboard: [5, 70, 510],
      bookings: [4, 90, 620],
      fieldlib: [3, 110, 780],
      dispatch: [3, 35, 310],
    },
    keyedRoutes: [['confirm-hotel-booking', 'hotel-bookings']],
    warningPaths: [
      '$.services[1].routes[3].isKeyRequired',
      '$.services[3].routes[3].isKeyRequired',
    ],
  },
];

for (const {deployment, sizes, keyedRoutes, warningPaths} of examples) {
  const {policy} = compileOrThrow(
    readFileSync(new URL(`${deployment}.json`, EXAMPLES_URL)),
  );
  const parse = parseHostList(
    readFileSync(new URL(`${deployment}.hosts.json`, EXAMPLES_URL)),
  );
  const hosts = parse.kind === 'parsed' ? parse.list.hosts : [];

  test(`${deployment}: sizes and zones`, t => {
    const found = policy.services.map(service => {
      const ownHosts = hosts.filter(host => host.service === service.name);
      const {slotsCount, connectionsCount} = service;
      return [service.name, [ownHosts.length, slotsCount, connectionsCount]];
    });
    t.deepEqual(Object.fromEntries(found), sizes);
    for (const {name} of policy.availabilityZones) {
      const inZone = hosts.filter(host => host.availabilityZone === name);
      const services = new Set(inZone.map(({service}) => service));
      t.is(services.size, policy.services.length, name);
    }
    t.is(policy.availabilityZones.length, 3);
  });

  test(`${deployment}: routes with a key and warnings`, t => {
    const keyed = policy.services
      .flatMap(({routes}) => routes)
      .filter(({isKeyRequired}) => isKeyRequired);
    t.deepEqual(
      keyed.map(({name, className}) => [name, className]),
      keyedRoutes,
    );
    t.true(keyed.every(({repeat}) => repeat === 'never'));
    t.deepEqual(
      findPolicyWarnings(policy).map(({path}) => path),
      warningPaths,
    );
  });
}
