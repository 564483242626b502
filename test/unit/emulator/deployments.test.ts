import test from 'ava';
import {
  keepZones,
  readExamplePolicy,
} from '../../../src/emulator/example_deployment.js';
import type {ServicePlan} from '../../../src/emulator/fleet_plan.js';
import {listHosts} from '../../../src/emulator/fleet_plan.js';
import {createIlorinServices} from '../../../src/emulator/ilorin_services.js';
import {
  createSmallPolicy,
  createSmallServices,
} from '../../../src/emulator/small_deployment.js';
import {createTunisServices} from '../../../src/emulator/tunis_services.js';
import {findUpstreamRoute} from '../../../src/emulator/upstream_config.js';
import {compilePolicy} from '../../../src/version/compiled_policy.js';
import type {Policy} from '../../../src/version/policy.js';

const TUNIS_TIMES = {
  bookingsMillis: 1,
  crewboardMillis: 1,
  fieldlibMillis: 1,
  dispatchMillis: 1,
};

const DEPLOYMENTS: readonly {
  readonly name: string;
  readonly readPolicy: () => Promise<Policy>;
  readonly services: readonly ServicePlan[];
}[] = [
  {
    name: 'small',
    readPolicy: () => Promise.resolve(createSmallPolicy(3)),
    services: createSmallServices(1),
  },
  {
    name: 'ilorin',
    readPolicy: async () => keepZones(await readExamplePolicy('ilorin'), 2),
    services: createIlorinServices(1),
  },
  {
    name: 'tunis',
    readPolicy: async () => keepZones(await readExamplePolicy('tunis'), 2),
    services: createTunisServices(1, TUNIS_TIMES),
  },
];

for (const {name, readPolicy, services} of DEPLOYMENTS) {
  test(`the policy of ${name} is valid and its host names are unique`, async t => {
    const policy = await readPolicy();
    const result = compilePolicy(Buffer.from(JSON.stringify(policy)));
    t.is(result.kind, 'compiled', JSON.stringify(result));
    const hosts = listHosts({policy, services, hasLinks: false});
    t.is(new Set(hosts.map(host => host.name)).size, hosts.length);
  });

  test(`policy and upstreams of ${name} have the same routes`, async t => {
    const policy = await readPolicy();
    for (const service of policy.services) {
      const plan = services.find(entry => entry.service === service.name);
      t.deepEqual(
        plan?.routes.map(({method, path}) => `${method} ${path}`).sort(),
        service.routes.map(({method, path}) => `${method} ${path}`).sort(),
      );
    }
    const calls = services.flatMap(({routes}) =>
      routes.flatMap(route => route.callStages ?? []).flat(),
    );
    for (const call of calls) {
      const callee = services.find(({service}) => service === call.service);
      const route = findUpstreamRoute(
        callee?.routes ?? [],
        call.method,
        call.path,
      );
      t.truthy(route, `${call.method} ${call.service} ${call.path}`);
    }
  });
}
