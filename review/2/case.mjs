/**
 * Backends answer downloads without a length, and the node that took the
 * requests from its clients is killed while the answers are under way. An answer
 * that ends early must not look complete.
 */
/* global Buffer */
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
  startStore,
} from '../lib/stand_ins.mjs';

const ROUNDS_COUNT = 4;
const DOWNLOADS_COUNT = 3;
const TIMEOUT_MILLIS = 5000;
const WORK_MILLIS = 130;

/** An answer of one megabyte takes about six tenths of a second. */
const PIECE_BYTES = 16_384;
const PIECES_COUNT = 64;
const PIECE_INTERVAL_MILLIS = 10;

/** When the node is killed, after the requests were sent. */
const KILL_AFTER_MILLIS = 450;
const RESTART_DELAY_MILLIS = 500;

const machineOf = (service, number, host) => ({
  name: `${service}-${String(number)}`,
  id: `i-${service}-${String(number)}`,
  service,
  host,
  bornMillis: 1_764_800_000_000 + host,
});

const WHOLE_BODY = Buffer.alloc(PIECE_BYTES * PIECES_COUNT, 'terrain');

/** Answers without a length: the end of the connection ends the body. */
async function respondUnframed(_request, response, attemptId) {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    'attempt-id': attemptId,
    'response-signature': digestOf(WHOLE_BODY),
    connection: 'close',
  });
  for (let piece = 0; piece < PIECES_COUNT; piece += 1) {
    if (response.destroyed) return;
    const start = piece * PIECE_BYTES;
    response.write(WHOLE_BODY.subarray(start, start + PIECE_BYTES));
    await sleep(PIECE_INTERVAL_MILLIS);
  }
  response.end();
}

await runCase(dirname(fileURLToPath(import.meta.url)), async context => {
  const {network, write} = context;
  const machines = [
    ...[1, 2, 3, 4].map(number => machineOf('atlas', number, 10 + number)),
    ...[1, 2, 3].map(number => machineOf('tileyard', number, 20 + number)),
    ...[1, 2, 3].map(number => machineOf('catalogue', number, 30 + number)),
  ];
  const entry = machines[0];
  const store = await startStore(context);
  store.put(
    'op/config',
    configuration([
      {service: 'atlas', kind: 'safe', timeoutS: 5, sloS: 1.5},
      {service: 'tileyard', kind: 'download', timeoutS: 5, sloS: 1.5},
      {service: 'catalogue', kind: 'safe', timeoutS: 5, sloS: 1.5},
    ]),
  );
  for (const machine of machines) {
    await startBackend(context, machine, {
      workMillis: WORK_MILLIS,
      respond: respondUnframed,
      onRun: ({attemptId}) => write(`run ${attemptId} at ${machine.name}`),
    });
    store.put(`servers/${machine.id}`, backendEntry(network, machine));
  }
  let entryNode = startNode(context, entry);
  for (const machine of machines.slice(1)) startNode(context, machine);
  await waitUntilReady(context, machines);
  await sleep(1000);

  const results = [];
  for (let round = 0; round < ROUNDS_COUNT; round += 1) {
    const downloads = [];
    for (let count = 0; count < DOWNLOADS_COUNT; count += 1) {
      const attemptId = createAttemptId();
      write(`send ${attemptId}`);
      downloads.push(
        sendRequest(context, {
          machine: entry,
          service: 'tileyard',
          method: 'GET',
          attemptId,
          timeoutMillis: TIMEOUT_MILLIS,
        }).then(result => {
          write(
            `${result.kind} ${attemptId}, ` +
              `status ${String(result.statusCode ?? '-')}, ` +
              `${String(result.body?.length ?? 0)} of ` +
              `${String(WHOLE_BODY.length)} bytes`,
          );
          return result;
        }),
      );
    }
    if (HAS_TROUBLE) {
      await sleep(KILL_AFTER_MILLIS);
      write(`kill ${entry.name}`);
      entryNode.child.kill('SIGKILL');
    }
    results.push(...(await Promise.all(downloads)));
    if (!HAS_TROUBLE) continue;
    await sleep(RESTART_DELAY_MILLIS);
    entryNode = startNode(context, entry);
    await waitUntilReady(context, [entry]);
    await sleep(1000);
  }

  const successes = results.filter(
    ({kind, statusCode}) => kind === 'answered' && statusCode === 200,
  );
  const partial = successes.filter(({body}) => !body.equals(WHOLE_BODY));
  write(
    `${String(results.length)} downloads, ${String(successes.length)} ` +
      `successes that ended, ${String(partial.length)} of them with a part ` +
      'of the body',
  );
  if (!HAS_TROUBLE && successes.length === 0) return NOT_RUN;
  return partial.length > 0 ? BROKEN : HELD;
});
