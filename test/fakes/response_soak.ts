/**
 * Seeded load of reads on a fleet of node processes, with faults. Each response that a client
 * receives is compared with the one that its upstream sent.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import {injectFaults} from './order_soak.js';
import type {
  PipelinedOutcome,
  PipelinedRequest,
  PipeliningClient,
} from './pipelining_client.js';
import {connectPipeliningClient} from './pipelining_client.js';
import {SAFE_PATH} from './platform_fleet.js';
import type {ProcessFleet} from './process_fleet.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from './process_fleet.js';
import type {SentResponse} from './response_upstreams.js';
import {recordResponses} from './response_upstreams.js';
import {createSeededRandom} from './seeded_random.js';

export interface ResponseSoakOptions {
  readonly seed: number;
  readonly clientsCount: number;
  readonly durationMillis: number;
  /** Service of each host. */
  readonly services: readonly string[];
}

export interface ResponseSoakReport {
  /** Number of reads by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Responses that are not what an upstream sent for the read. */
  readonly mixedResponses: readonly string[];
}

type Answer = Extract<PipelinedOutcome, {kind: 'answered'}>;

const MAX_PAUSE_MILLIS = 60;
const MAX_PIPELINED_COUNT = 3;
const SLOW_READER_RATIO = 0.2;
const MAX_READ_PAUSE_MILLIS = 120;
const KEPT_CONNECTION_RATIO = 0.9;

/** Runs one seed. */
export async function runResponseSoak(
  t: ExecutionContext,
  {seed, clientsCount, durationMillis, services}: ResponseSoakOptions,
): Promise<ResponseSoakReport> {
  const random = createSeededRandom(seed);
  const fleet = await startProcessFleet(t, services, [SAFE_PATH], {
    hasLinks: true,
  });
  await waitForVersion(fleet.hosts, 1);
  await waitForAllUpstreams(fleet.hosts);
  const responses = recordResponses(fleet, random);
  const endMillis = performance.now() + durationMillis;
  const outcomes = new Map<string, number>();
  const answers: ReceivedAnswer[] = [];
  const clients = Array.from({length: clientsCount}, (_, index) =>
    runClient(fleet, {
      name: `${String(seed)}-${String(index)}`,
      nodeIndex: index % fleet.hosts.length,
      random,
      endMillis,
      onOutcome: (attemptId, outcome) => {
        const key =
          outcome.kind === 'answered'
            ? `${String(outcome.head.statusCode)} ${outcome.head.form}`
            : outcome.kind;
        outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
        if (outcome.kind === 'answered') answers.push({attemptId, outcome});
      },
    }),
  );
  await injectFaults(fleet, random, endMillis);
  const excessCounts = await Promise.all(clients);
  const mixedResponses = answers.flatMap(answer =>
    findProblem(answer, responses),
  );
  const excessCount = excessCounts.reduce((sum, count) => sum + count, 0);
  if (excessCount > 0) mixedResponses.push(`${String(excessCount)} unasked`);
  return {outcomes, mixedResponses};
}

interface ReceivedAnswer {
  readonly attemptId: string;
  readonly outcome: Answer;
}

/** Describes what is wrong with a response; empty if nothing is. */
function findProblem(
  {attemptId, outcome}: ReceivedAnswer,
  responses: ReadonlyMap<string, SentResponse>,
): string[] {
  const {
    head: {statusCode, headers, form},
    body,
  } = outcome;
  const signature = headers.get('response-signature');
  const describe = (problem: string): string[] => [
    `${attemptId}: ${problem}, status ${String(statusCode)}, ${form}, ` +
      `${String(body.length)} bytes, signature ${signature ?? 'none'}`,
  ];
  if (signature === undefined) {
    return statusCode < 300 ? describe('no signature') : [];
  }
  const sent = responses.get(signature);
  if (sent === undefined) return describe('unknown signature');
  if (sent.attemptId !== attemptId) return describe('another request');
  if (sent.statusCode !== statusCode) return describe('another status');
  if (sent.isLate) return describe('late response');
  if (sent.body === body) return [];
  const isAsCut =
    sent.isCutByClose && form === 'until-close' && sent.body.startsWith(body);
  if (isAsCut) return [];
  return describe(
    `${String(sent.body.length)} bytes sent` +
      (sent.isCutByClose ? ', closed before the end' : '') +
      describeDifference(sent.body, body),
  );
}

const SHOWN_BYTES = 80;

function describeDifference(sent: string, received: string): string {
  let offset = 0;
  while (offset < received.length && sent[offset] === received[offset]) {
    offset += 1;
  }
  if (offset === received.length) return '';
  const bytes = JSON.stringify(received.slice(offset, offset + SHOWN_BYTES));
  return `, differs from byte ${String(offset)} on: ${bytes}`;
}

interface ClientOptions {
  readonly name: string;
  readonly nodeIndex: number;
  readonly random: () => number;
  readonly endMillis: number;
  readonly onOutcome: (attemptId: string, outcome: PipelinedOutcome) => void;
}

/** Sends until the end; returns the number of responses without a request. */
async function runClient(
  fleet: ProcessFleet,
  {name, nodeIndex, random, endMillis, onOutcome}: ClientOptions,
): Promise<number> {
  const {address} = fleet.hosts[nodeIndex]!;
  let client: PipeliningClient | undefined;
  let requestsCount = 0;
  let excessCount = 0;
  let unread: readonly PipelinedRequest[] = [];

  const nextRequest = (): PipelinedRequest => {
    requestsCount += 1;
    const attemptId = `${name}-${String(requestsCount)}`;
    return {attemptId, method: 'GET', path: '/a/1'};
  };
  while (performance.now() < endMillis) {
    await sleep(random() * MAX_PAUSE_MILLIS);
    if (client?.isOpen !== true) {
      excessCount += client?.excessCount ?? 0;
      client = await connectPipeliningClient(address, fleet.outboundPort).catch(
        () => undefined,
      );
      if (client === undefined) continue;
    }
    const count = 1 + Math.floor(random() * MAX_PIPELINED_COUNT);
    const batch = [...unread, ...Array.from({length: count}, nextRequest)];
    const sent = client.send(batch);
    if (random() < SLOW_READER_RATIO) {
      await client.pause(random() * MAX_READ_PAUSE_MILLIS);
    }
    const outcomes = await sent;
    unread = batch.filter((_, index) => outcomes[index]!.kind === 'unread');
    for (const [index, outcome] of outcomes.entries()) {
      onOutcome(batch[index]!.attemptId, outcome);
    }
    if (random() >= KEPT_CONNECTION_RATIO) client.close();
  }
  client?.close();
  return excessCount + (client?.excessCount ?? 0);
}
