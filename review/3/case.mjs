/**
 * Clients read long downloads slowly and send further requests ahead, and the
 * node that took them is stopped as planned. Every download must arrive whole.
 */
/* global Buffer, clearInterval, performance, setInterval, setTimeout */
import {connect} from 'node:net';
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
  startBackend,
  startStore,
} from '../lib/stand_ins.mjs';

/** Bounds of the deployment `isc-terrain-large`. */
const GRACE_S = 10;
const BOUNDS = {
  stableWindowS: 4,
  ackS: 5,
  catchUpS: 6,
  drainS: 3,
  graceS: GRACE_S,
  configApplyS: 3,
  outerS: 6,
  budgetSlack: 213,
};

const DOWNLOAD_BYTES = 24_000_000;
const DOWNLOAD_TIMEOUT_MILLIS = 6000;

/** Rates at which the clients read; the slowest needs less than 5.8 s. */
const READ_BYTES_PER_MILLI = [4200, 4250, 4300, 4350, 4400, 4450];

/** Interval of the further requests of each client. */
const FURTHER_INTERVAL_MILLIS = 500;

/** When the node gets SIGTERM, after the downloads were requested. */
const STOP_AFTER_MILLIS = 400;
const WORK_MILLIS = 50;

const HEAD_END = '\r\n\r\n';

const machineOf = (service, number, host) => ({
  name: `${service}-${String(number)}`,
  id: `i-${service}-${String(number)}`,
  service,
  host,
  bornMillis: 1_764_800_000_000 + host,
});

const WHOLE_BODY = Buffer.alloc(DOWNLOAD_BYTES, 'terrain');
const WHOLE_SIGNATURE = digestOf(WHOLE_BODY);

function respondWhole(_request, response, attemptId) {
  response.writeHead(200, {
    'attempt-id': attemptId,
    'response-signature': WHOLE_SIGNATURE,
    'content-length': String(WHOLE_BODY.length),
  });
  response.end(WHOLE_BODY);
}

function requestText(service, attemptId) {
  return [
    `GET /${service}/2f HTTP/1.1`,
    `Host: ${service}.example`,
    `Attempt-Id: ${attemptId}`,
    `Timeout-Ms: ${String(DOWNLOAD_TIMEOUT_MILLIS)}`,
    '',
    '',
  ].join('\r\n');
}

/**
 * Requests a download, reads it at a limited rate, and sends further safe
 * requests on the same connection until the download is whole or an answer says
 * that the connection will be closed.
 */
function download({network, write}, machine, bytesPerMilli) {
  const attemptId = createAttemptId();
  const sentMillis = performance.now();
  const socket = connect({
    host: network.address(machine.host),
    port: network.ports.outbound,
  });
  let received = Buffer.alloc(0);
  let headBytes = 0;
  let bodyBytes = 0;
  let isClosing = false;
  write(`send ${attemptId}, read at ${String(bytesPerMilli)} bytes a ms`);
  socket.write(requestText('tileyard', attemptId));
  return new Promise(resolve => {
    let ending = 'closed';
    const isWhole = () => bodyBytes >= DOWNLOAD_BYTES;
    const timer = setInterval(() => {
      if (isWhole() || isClosing || socket.destroyed) return;
      const furtherId = createAttemptId();
      write(`send ${furtherId} behind ${attemptId}`);
      socket.write(requestText('atlas', furtherId));
    }, FURTHER_INTERVAL_MILLIS);
    socket.on('data', chunk => {
      if (headBytes === 0) {
        received = Buffer.concat([received, chunk]);
        const end = received.indexOf(HEAD_END);
        if (end < 0) return;
        headBytes = end + HEAD_END.length;
        const head = received.subarray(0, headBytes).toString('latin1');
        isClosing = /^connection: close\r$/im.test(head);
        bodyBytes = received.length - headBytes;
      } else {
        bodyBytes += chunk.length;
      }
      if (isWhole()) {
        socket.destroy();
        return;
      }
      socket.pause();
      setTimeout(() => socket.resume(), chunk.length / bytesPerMilli);
    });
    socket.on('error', error => {
      ending = error.code;
    });
    socket.on('close', () => {
      clearInterval(timer);
      const tookMillis = performance.now() - sentMillis;
      const bytes = Math.min(bodyBytes, DOWNLOAD_BYTES);
      write(
        `${isWhole() ? 'whole' : `cut, ${ending},`} ${attemptId}, ` +
          `${String(bytes)} of ${String(DOWNLOAD_BYTES)} bytes after ` +
          `${tookMillis.toFixed(0)} ms`,
      );
      resolve({isWhole: isWhole(), tookMillis, endedMillis: performance.now()});
    });
  });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {network, write} = context;
  const machines = [
    machineOf('atlas', 1, 11),
    machineOf('atlas', 2, 12),
    machineOf('tileyard', 1, 21),
    machineOf('tileyard', 2, 22),
    machineOf('tileyard', 3, 23),
  ];
  const entry = machines[0];
  const store = await startStore(context);
  store.put(
    'op/config',
    configuration([
      {service: 'atlas', kind: 'safe', timeoutS: 6, sloS: 2},
      {service: 'tileyard', kind: 'download', timeoutS: 6, sloS: 1.5},
    ]),
  );
  for (const machine of machines) {
    await startBackend(context, machine, {
      workMillis: WORK_MILLIS,
      ...(machine.service === 'tileyard' ? {respond: respondWhole} : {}),
      onRun: ({attemptId}) => write(`run ${attemptId} at ${machine.name}`),
    });
    store.put(`servers/${machine.id}`, backendEntry(network, machine));
  }
  const nodes = machines.map(machine => startNode(context, machine, BOUNDS));
  await waitUntilReady(context, machines);
  await sleep(1000);

  const downloads = READ_BYTES_PER_MILLI.map(bytesPerMilli =>
    download(context, entry, bytesPerMilli),
  );
  await sleep(STOP_AFTER_MILLIS);
  const stoppedMillis = performance.now();
  if (HAS_TROUBLE) {
    write(`SIGTERM to ${entry.name}`);
    nodes[0].child.kill('SIGTERM');
  }
  const results = await Promise.all(downloads);
  await sleep(1000);

  const whole = results.filter(({isWhole}) => isWhole).length;
  const lost = results.filter(
    ({isWhole, tookMillis, endedMillis}) =>
      !isWhole &&
      tookMillis < DOWNLOAD_TIMEOUT_MILLIS &&
      endedMillis - stoppedMillis < GRACE_S * 1000,
  );
  write(
    `${String(results.length)} downloads, ${String(whole)} whole, ` +
      `${String(lost.length)} cut before their deadline and within the grace ` +
      'period',
  );
  if (whole + lost.length === 0) return NOT_RUN;
  return lost.length > 0 ? BROKEN : HELD;
});
