import process from 'node:process';
import {URL, fileURLToPath} from 'node:url';
import {
  configurationOf,
  hasTrouble,
  runCase,
  sleep,
  startFleet,
} from '../lib-2/fleet.mjs';
import {createClient} from '../lib-2/client.mjs';

/** `configApplyS` and `stableWindowS` of the site. */
const CONFIG_APPLY_MILLIS = 2000;
const STABLE_MILLIS = 3000;
const LAPSE_MILLIS = 4500;
const STEADY_MILLIS = 15_000;
const CLIENTS_PER_HOST_COUNT = 2;
const MIN_REQUESTS_COUNT = 20;
const SERVED_RATIO = 0.25;
const SLOTS_COUNT = 29;

const routeOf = (name, service) => ({
  name,
  prefix: `/${name}/`,
  kind: 'safe',
  timeoutS: 1,
  sloS: 0.5,
  priority: 1,
  service,
  maxAttempts: 2,
});

const SERVICES = ['catalogue', 'catalogue-next', 'atlas'];
const TILES = routeOf('tiles', 'atlas');

const VERSIONS = {
  first: configurationOf({
    version: 1,
    services: SERVICES,
    routes: [TILES, routeOf('records', 'catalogue')],
  }),
  dropped: configurationOf({version: 3, services: SERVICES, routes: [TILES]}),
  added: configurationOf({
    version: 7,
    services: SERVICES,
    routes: [TILES, routeOf('records', 'catalogue-next')],
  }),
};

async function main() {
  const fleet = await startFleet({
    folder: fileURLToPath(new URL('.', import.meta.url)),
    hosts: [
      ['a1', 'atlas'],
      ['b1', 'atlas'],
      ['c1', 'atlas'],
      ['a2', 'catalogue-next'],
      ['b2', 'catalogue-next'],
      ['c2', 'catalogue'],
    ].map(([name, service]) => ({
      name,
      zone: `zone-${name[0]}`,
      service,
      slots: SLOTS_COUNT,
    })),
    configuration: VERSIONS.first,
  });
  const {machines, ports, record, store} = fleet;
  const lost = machines.find(({service}) => service === 'catalogue');
  const next = machines.filter(({service}) => service === 'catalogue-next');
  try {
    let isOver = false;
    const results = [];
    const runClient = async (machine, name) => {
      const client = createClient({ip: machine.ip, port: ports.outbound});
      while (!isOver) {
        const result = await client.send({
          path: `/${name}/1`,
          timeoutMillis: 2000,
          lateMillis: 0,
        });
        results.push({...result, name});
        await sleep(result.statusCode === 200 ? 60 : 250);
      }
      client.close();
    };
    const clients = machines.flatMap(machine =>
      Array.from({length: CLIENTS_PER_HOST_COUNT}).flatMap(() => [
        runClient(machine, 'tiles'),
        runClient(machine, 'records'),
      ]),
    );
    await sleep(5000);
    if (hasTrouble) {
      record(
        `backend ${lost.backend.id}, the last of catalogue, is lost for good`,
      );
      lost.backend.crash();
      await sleep(LAPSE_MILLIS);
      store.remove(`servers/${lost.backend.id}`);
      record('its entry lapses');
    } else {
      await sleep(LAPSE_MILLIS);
    }
    store.put('op/config', VERSIONS.dropped);
    record('version 3: the route records is dropped');
    await sleep(CONFIG_APPLY_MILLIS);
    store.put('op/config', VERSIONS.added);
    record('version 7: the route records is added, to catalogue-next');
    const ackMillis = Date.now();
    const steadyMillis = ackMillis + CONFIG_APPLY_MILLIS + STABLE_MILLIS;
    await sleep(CONFIG_APPLY_MILLIS + STABLE_MILLIS + STEADY_MILLIS);
    isOver = true;
    await Promise.all(clients);
    const countsOf = name => {
      const steady = results.filter(
        each => each.name === name && each.sentMillis >= steadyMillis,
      );
      const byStatus = {};
      for (const each of steady) {
        const key = String(each.statusCode ?? each.kind);
        byStatus[key] = (byStatus[key] ?? 0) + 1;
      }
      const servedCount = byStatus['200'] ?? 0;
      const ratio = servedCount / Math.max(1, steady.length);
      return {count: steady.length, ratio, byStatus};
    };
    const first = countsOf('tiles');
    const added = countsOf('records');
    const runsCount = next.reduce(
      (sum, {backend}) => sum + backend.runs.length,
      0,
    );
    const summary = `from ${(steadyMillis - ackMillis) / 1000} s after version 7 on: first route ${JSON.stringify(first.byStatus)}, added route ${JSON.stringify(added.byStatus)}; ${runsCount} requests ever reached the ${next.length} sound backends of catalogue-next`;
    record(summary);
    process.stdout.write(`${summary}\n`);
    return (
      added.count >= MIN_REQUESTS_COUNT &&
      added.ratio < SERVED_RATIO * first.ratio
    );
  } finally {
    await fleet.stop();
  }
}

await runCase(main);
