/**
 * Some backends spoil a few of their answers: the status is 000. Each request
 * must get a final answer soon after its route's time is over.
 */
/* global performance */
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
  respondSmall,
  sendRequest,
  startBackend,
  startStore,
} from '../lib/stand_ins.mjs';

/** Share of the backends that spoil answers, and of their answers. */
const SPOILING_MACHINES = ['bookings-1', 'bookings-2'];
const SPOILED_RATIO = 0.02;

/** Backends spoil answers in eight periods of five seconds. */
const PERIODS_COUNT = 8;
const SPOILING_MILLIS = 5000;
const CALM_MILLIS = 1000;

const REQUESTS_PER_SECOND = 80;
const WORK_MILLIS = 210;
const TIMEOUT_MILLIS = 6000;
const ROUTE_TIMEOUT_S = 1.2;

/** Bounds of the rule. */
const FINAL_ANSWER_MILLIS = 500;
const MIN_UNANSWERED_COUNT = 8;
const MAX_UNANSWERED_RATIO = 0.25;

const machineOf = (service, number, host) => ({
  name: `${service}-${String(number)}`,
  id: `i-${service}-${String(number)}`,
  service,
  host,
  bornMillis: 1_764_800_000_000 + host,
});

/** Sends an answer whose status is not one. */
function respondSpoiled(response, attemptId) {
  const body = `done ${attemptId}`;
  response.socket?.end(
    [
      'HTTP/1.1 000 OK',
      `Attempt-Id: ${attemptId}`,
      `Response-Signature: ${digestOf(body)}`,
      `Content-Length: ${String(body.length)}`,
      '',
      body,
    ].join('\r\n'),
  );
}

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {network, write} = context;
  const machines = [
    machineOf('crewboard', 1, 11),
    machineOf('crewboard', 2, 12),
    machineOf('bookings', 1, 21),
    machineOf('bookings', 2, 22),
    machineOf('bookings', 3, 23),
    machineOf('bookings', 4, 24),
  ];
  const store = await startStore(context);
  store.put(
    'op/config',
    configuration([
      {service: 'crewboard', kind: 'safe', timeoutS: 1, sloS: 1.5},
      {
        service: 'bookings',
        kind: 'unsafe',
        timeoutS: ROUTE_TIMEOUT_S,
        sloS: 2,
      },
    ]),
  );
  let isSpoiling = false;
  let spoiledCount = 0;
  const ran = new Set();
  for (const machine of machines) {
    const maySpoil = SPOILING_MACHINES.includes(machine.name);
    await startBackend(context, machine, {
      workMillis: WORK_MILLIS,
      onRun: ({attemptId}) => ran.add(attemptId),
      respond: (request, response, attemptId) => {
        if (maySpoil && isSpoiling && Math.random() < SPOILED_RATIO) {
          spoiledCount += 1;
          write(`spoil ${attemptId} at ${machine.name}`);
          respondSpoiled(response, attemptId);
          return;
        }
        respondSmall(request, response, attemptId);
      },
    });
    store.put(`servers/${machine.id}`, backendEntry(network, machine));
  }
  for (const machine of machines) startNode(context, machine);
  await waitUntilReady(context, machines);
  await sleep(1000);

  const requests = [];
  const sendOne = () => {
    const attemptId = createAttemptId();
    const sentMillis = performance.now();
    const request = sendRequest(context, {
      machine: machines[requests.length % machines.length],
      service: 'bookings',
      method: 'POST',
      body: 'confirm',
      attemptId,
      timeoutMillis: TIMEOUT_MILLIS,
    });
    requests.push(
      request.then(result => {
        const tookMillis = performance.now() - sentMillis;
        if (result.statusCode !== 200) {
          write(
            `${result.kind} ${attemptId}, ` +
              `status ${String(result.statusCode ?? '-')}, after ` +
              `${tookMillis.toFixed(0)} ms, ` +
              `${ran.has(attemptId) ? 'ran' : 'did not run'}`,
          );
        }
        return {...result, tookMillis};
      }),
    );
  };
  const sendFor = async millis => {
    const startMillis = performance.now();
    let sentCount = 0;
    for (;;) {
      const passedMillis = performance.now() - startMillis;
      if (passedMillis >= millis) return;
      while (sentCount < (passedMillis / 1000) * REQUESTS_PER_SECOND) {
        sendOne();
        sentCount += 1;
      }
      await sleep(5);
    }
  };
  for (let period = 0; period < PERIODS_COUNT; period += 1) {
    await sendFor(CALM_MILLIS);
    isSpoiling = HAS_TROUBLE;
    await sendFor(SPOILING_MILLIS);
    isSpoiling = false;
  }
  const results = await Promise.all(requests);

  const routeMillis = ROUTE_TIMEOUT_S * 1000;
  const served = results.filter(({statusCode}) => statusCode === 200).length;
  const long = results.filter(({tookMillis}) => tookMillis > routeMillis);
  const unanswered = long.filter(
    ({kind, tookMillis}) =>
      kind === 'no answer' || tookMillis > routeMillis + FINAL_ANSWER_MILLIS,
  );
  write(
    `${String(results.length)} requests, ${String(served)} served, ` +
      `${String(spoiledCount)} answers spoiled; ${String(long.length)} ` +
      `requests lasted longer than ${String(ROUTE_TIMEOUT_S)} s, ` +
      `${String(unanswered.length)} of them had no final answer half a ` +
      'second later',
  );
  if (served === 0) return NOT_RUN;
  const isBroken =
    unanswered.length >= MIN_UNANSWERED_COUNT &&
    unanswered.length > long.length * MAX_UNANSWERED_RATIO;
  return isBroken ? BROKEN : HELD;
});
