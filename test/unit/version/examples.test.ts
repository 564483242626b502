/**
 * The example documents are valid and forbid retries of the right routes.
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
  readonly onceRoutes: readonly (readonly [string, string])[];
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
    onceRoutes: [['place-terrain-order', 'terrain-orders']],
  },
  {
    deployment: 'tunis',
    sizes: {
      crewboard: [5, 70, 510],
      bookings: [4, 90, 620],
      fieldlib: [3, 110, 780],
      dispatch: [3, 35, 310],
    },
    onceRoutes: [['confirm-hotel-booking', 'hotel-bookings']],
  },
];

for (const {deployment, sizes, onceRoutes} of examples) {
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

  test(`${deployment}: routes that run at most once`, t => {
    const once = policy.services
      .flatMap(({routes}) => routes)
      .filter(({repeat}) => repeat === 'never');
    for (const expected of onceRoutes) {
      const found = once.map(({name, className}) => [name, className]);
      t.true(found.some(([name]) => name === expected[0]));
    }
    t.deepEqual(findPolicyWarnings(policy), []);
  });
}
