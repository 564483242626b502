import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';
import {
  configurationOf,
  hasTrouble,
  runCase,
  sleep,
  startFleet,
} from '../lib-2/fleet.mjs';
import {createClient} from '../lib-2/client.mjs';

/** `reuseAfterS` of the site. */
const REUSE_AFTER_MILLIS = 2000;
/** Three heartbeats of 1.5 s: the store drops the entry of a silent backend. */
const LAPSE_MILLIS = 4500;
/** `lag_ms` of the discovery in the site file; a backend writes every 1.5 s. */
const REGISTRATION_LAG_MILLIS = 800;
const STAGGER_MILLIS = 500;
const CLIENTS_PER_HOST_COUNT = 3;
const SLOTS_COUNT = 29;

const routeOf = (name, kind, service) => ({
  name,
  prefix: `/${name}/`,
  kind,
  timeoutS: 2,
  sloS: 1.5,
  priority: 0,
  service,
  maxAttempts: 2,
});

const hostOf = (name, service) => ({
  name,
  zone: `zone-${name[0]}`,
  service,
  slots: SLOTS_COUNT,
});

/** A backend crashes for good; its address goes to a backend of another service. */
async function reuseAddress(fleet, machine, backends) {
  const {record, store} = fleet;
  const {id} = machine.backend;
  record(`backend ${id} crashes for good`);
  machine.backend.crash();
  const lapse = setTimeout(() => {
    record(`the entry of ${id} lapses`);
    store.remove(`servers/${id}`);
  }, LAPSE_MILLIS);
  await sleep(REUSE_AFTER_MILLIS + 100);
  machine.service = 'tileyard';
  fleet.writeSettings(machine);
  record(`the settings of ${machine.name} name the service tileyard`);
  const next = await fleet.startBackend(machine, {
    id: `i-${machine.name}-2`,
    service: 'tileyard',
    slots: SLOTS_COUNT,
  });
  machine.backend = next;
  backends.push(next);
  await sleep(REGISTRATION_LAG_MILLIS);
  fleet.register(machine, next);
  record(`backend ${next.id} is registered`);
  await sleep(6000);
  clearTimeout(lapse);
}

async function main() {
  const fleet = await startFleet({
    folder: fileURLToPath(new URL('.', import.meta.url)),
    hosts: [
      hostOf('a1', 'orderdesk'),
      hostOf('b1', 'orderdesk'),
      hostOf('c1', 'orderdesk'),
      hostOf('a2', 'orderdesk'),
      hostOf('b2', 'orderdesk'),
      hostOf('c2', 'orderdesk'),
      hostOf('a3', 'tileyard'),
      hostOf('b3', 'tileyard'),
    ],
    configuration: configurationOf({
      version: 1,
      services: ['orderdesk', 'tileyard'],
      routes: [
        routeOf('orders', 'unsafe', 'orderdesk'),
        routeOf('tiles', 'safe', 'tileyard'),
      ],
    }),
  });
  const {machines, ports, record} = fleet;
  const backends = machines.map(({backend}) => backend);
  try {
    let isOver = false;
    const results = [];
    const runClient = async (ip, kind) => {
      const client = createClient({ip, port: ports.outbound});
      while (!isOver) {
        const result = await client.send({
          method: kind === 'orders' ? 'POST' : 'GET',
          path: `/${kind}/1`,
          body: kind === 'orders' ? 'one order' : '',
          timeoutMillis: 3000,
          lateMillis: 0,
        });
        results.push({...result, kind});
        await sleep(30);
      }
      client.close();
    };
    const clients = [];
    for (const {ip} of machines) {
      for (let index = 0; index < CLIENTS_PER_HOST_COUNT; index += 1) {
        clients.push(runClient(ip, 'orders'), runClient(ip, 'tiles'));
      }
    }
    await sleep(4000);
    if (hasTrouble) {
      const [first, second] = machines;
      const reused = reuseAddress(fleet, first, backends);
      await sleep(STAGGER_MILLIS);
      await Promise.all([reused, reuseAddress(fleet, second, backends)]);
    } else {
      await sleep(10_000);
    }
    isOver = true;
    await Promise.all(clients);
    const wrong = [];
    for (const backend of backends) {
      const own = backend.service === 'orderdesk' ? '/orders/' : '/tiles/';
      for (const run of backend.runs) {
        if (run.target.startsWith(own)) continue;
        wrong.push(run);
        const result = results.find(each => each.attemptId === run.attemptId);
        record(
          `${backend.id} of ${backend.service} runs ${run.method} ${run.target} ${run.attemptId}; its client got ${result?.statusCode} ${result?.signature}`,
        );
      }
    }
    const byStatus = {};
    for (const each of results) {
      const key = `${each.kind} ${each.statusCode ?? ''}`;
      byStatus[key] = (byStatus[key] ?? 0) + 1;
    }
    const summary = `${results.length} requests, ${wrong.length} run by a service to which their route does not lead; ${JSON.stringify(byStatus)}`;
    record(summary);
    process.stdout.write(`${summary}\n`);
    return wrong.length > 0;
  } finally {
    await fleet.stop();
  }
}

await runCase(main);
