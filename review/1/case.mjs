/**
 * Orders with long bodies go over a link that has narrowed. Each order that runs
 * must have the body that its client sent.
 */
import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  BROKEN,
  HAS_TROUBLE,
  HELD,
  NOT_RUN,
  runCase,
  startNode,
  waitUntilReady,
} from '../lib/harness.mjs';
import {
  backendEntry,
  configuration,
  createAttemptId,
  digestOf,
  sendRequest,
  startBackend,
  startLink,
  startStore,
} from '../lib/stand_ins.mjs';

/** Rates of the link; one machine of five has a link that narrows. */
const USUAL_MEGABITS_PER_SECOND = 140;
const NARROW_MEGABITS_PER_SECOND = 10;

/** The link narrows three times, for five seconds each. */
const NARROW_PERIODS_COUNT = 3;
const NARROW_MILLIS = 5000;
const CALM_MILLIS = 4000;

const ORDER_INTERVAL_MILLIS = 500;
const ORDER_BYTES = 2_000_000;
const TIMEOUT_MILLIS = 5000;
const ROUTE_TIMEOUT_S = 3;
const WORK_MILLIS = 210;

const atlas = number => ({
  name: `atlas-${String(number)}`,
  id: `i-a${String(number)}`,
  service: 'atlas',
  host: 10 + number,
  bornMillis: 1_764_800_000_000 + number,
});

const orderdesk = number => ({
  name: `orderdesk-${String(number)}`,
  id: `i-o${String(number)}`,
  service: 'orderdesk',
  host: 20 + number,
  bornMillis: 1_764_800_100_000 + number,
});

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {network, write} = context;
  // The node behind the link listens on another address than its machine.
  const narrow = {...orderdesk(1), inboundHost: 121};
  const machines = [atlas(1), atlas(2), narrow, orderdesk(2), orderdesk(3)];
  const entries = machines.filter(machine => machine !== narrow);
  const store = await startStore(context);
  store.put(
    'op/config',
    configuration([
      {service: 'atlas', kind: 'safe', timeoutS: 5, sloS: 1.5},
      {
        service: 'orderdesk',
        kind: 'unsafe',
        timeoutS: ROUTE_TIMEOUT_S,
        sloS: 2.5,
      },
    ]),
  );
  const sent = new Map();
  const runs = [];
  for (const machine of machines) {
    await startBackend(context, machine, {
      workMillis: WORK_MILLIS,
      onRun: ({attemptId, body}) => {
        const digest = digestOf(body);
        runs.push({attemptId, digest, bytes: body.length});
        write(
          `run ${attemptId} at ${machine.name}, ` +
            `${String(body.length)} bytes, digest ${digest}`,
        );
      },
    });
    store.put(`servers/${machine.id}`, backendEntry(network, machine));
  }
  const link = await startLink(context, narrow);
  link.setRate(USUAL_MEGABITS_PER_SECOND);
  for (const machine of machines) startNode(context, machine);
  await waitUntilReady(context, machines);
  await sleep(1000);

  const orders = [];
  const placeOrder = () => {
    const attemptId = createAttemptId();
    const body = randomBytes(ORDER_BYTES);
    const digest = digestOf(body);
    sent.set(attemptId, digest);
    write(`send ${attemptId}, ${String(body.length)} bytes, digest ${digest}`);
    const order = sendRequest(context, {
      machine: entries[orders.length % entries.length],
      service: 'orderdesk',
      method: 'POST',
      body,
      attemptId,
      timeoutMillis: TIMEOUT_MILLIS,
    });
    orders.push(
      order.then(result => {
        const status = String(result.statusCode ?? '-');
        write(`${result.kind} ${attemptId}, status ${status}`);
        return result;
      }),
    );
  };
  const placeOrdersFor = async millis => {
    for (let at = 0; at < millis; at += ORDER_INTERVAL_MILLIS) {
      placeOrder();
      await sleep(ORDER_INTERVAL_MILLIS);
    }
  };
  const setRate = megabitsPerSecond => {
    write(`link of ${narrow.name}: ${String(megabitsPerSecond)} Mbit/s`);
    link.setRate(megabitsPerSecond);
  };
  for (let period = 0; period < NARROW_PERIODS_COUNT; period += 1) {
    await placeOrdersFor(CALM_MILLIS);
    if (HAS_TROUBLE) setRate(NARROW_MEGABITS_PER_SECOND);
    await placeOrdersFor(NARROW_MILLIS);
    if (HAS_TROUBLE) setRate(USUAL_MEGABITS_PER_SECOND);
  }
  const results = await Promise.all(orders);
  await sleep(2000);

  const served = results.filter(({statusCode}) => statusCode === 200).length;
  const changed = runs.filter(
    ({attemptId, digest}) => sent.get(attemptId) !== digest,
  );
  write(
    `${String(orders.length)} orders, ${String(runs.length)} runs, ` +
      `${String(served)} served, ${String(changed.length)} run with a body ` +
      'that no client sent',
  );
  if (runs.length === 0) return NOT_RUN;
  return changed.length > 0 ? BROKEN : HELD;
});
