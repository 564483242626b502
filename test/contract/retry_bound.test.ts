/**
 * The retries that one request causes stay within its bound over the whole
 * chain, whatever upstreams and their applications do.
 */
import fc from 'fast-check';
import test from 'ava';
import type {TestFleet, TestHost} from '../fakes/in_process_fleet.js';
import {sendAsCaller, startTestFleet} from '../fakes/in_process_fleet.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import type {Script} from '../fakes/scripted_upstream.js';
import {rawScript} from '../fakes/scripted_upstream.js';
import {waitUntil} from '../fakes/wait_until.js';

const MAX_DEPTH = 8;
const HOSTS_PER_LEVEL = 2;
const RETRY_BOUND = 3;
const SILENCE_MILLIS = 100;

/** Executions after which a run stops branching, to bound its size. */
const MAX_EXECUTIONS = 80;

/** What one execution does. */
type Behaviour =
  | 'answer'
  | 'break'
  | 'refuse'
  | 'silent'
  /** Calls deeper without the context. */
  | 'drop-context'
  /** Calls deeper with the context of an earlier request. */
  | 'reuse-context';

const BEHAVIOURS: readonly Behaviour[] = [
  'answer',
  'break',
  'refuse',
  'silent',
  'drop-context',
  'reuse-context',
];

interface Run {
  readonly depth: number;
  readonly fanOut: number;
  /** Behaviour of the n-th execution; `answer` beyond the end. */
  readonly behaviours: readonly Behaviour[];
}

/** Counts over one run. */
interface Tally {
  executionsCount: number;
  callsCount: number;
  /** Calls of applications that have not ended; some outlive the request. */
  openCallsCount: number;
  /** Executions of each call that an application or the caller made. */
  readonly perCall: Map<string, number>;
}

const POLICY = createPolicyBytes(1, draft => {
  const [template] = draft.services;
  if (template === undefined) throw new Error('no service');
  const read = template.routes.filter(route => route.name === 'read-order');
  draft.services = Array.from({length: MAX_DEPTH}, (_, index) => ({
    ...structuredClone(template),
    name: `level${String(index + 1)}`,
    progressTimeoutMillis: SILENCE_MILLIS,
    slotsCount: 200,
    queueCount: 400,
    queueWaitMillis: 50,
    routes: read.map(route => ({
      ...route,
      retryBound: RETRY_BOUND,
      deadlineMillis: 5_000,
    })),
  }));
  // The budget of the nodes must not hide what the grant allows.
  draft.retryBudget = {ratio: 1, minimumPerSecond: 1_000};
  draft.ejection.floorRatio = 1;
});

const PLACES = Array.from({length: MAX_DEPTH}, (_, index) => index + 1).flatMap(
  level =>
    Array.from({length: HOSTS_PER_LEVEL}, (_, host) => ({
      name: `level${String(level)}-${String(host + 1)}`,
      service: `level${String(level)}`,
      zone: 'za',
    })),
);

/** The application of one level: calls the next one and answers. */
function createApplication(
  host: TestHost,
  level: number,
  run: Run,
  tally: Tally,
): Script {
  let earlierContext = 'none';
  return (request, response, body) => {
    const callId = String(request.headers['x-call-id']);
    tally.perCall.set(callId, (tally.perCall.get(callId) ?? 0) + 1);
    const behaviour = run.behaviours[tally.executionsCount] ?? 'answer';
    tally.executionsCount += 1;
    if (behaviour === 'silent') return;
    if (behaviour === 'break') {
      rawScript('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc')(
        request,
        response,
        body,
      );
      return;
    }
    if (behaviour === 'refuse') {
      response.writeHead(503, {'fulmarhollow-upstream-outcome': 'not-run'});
      response.end();
      return;
    }
    const context = String(request.headers['fulmarhollow-context']);
    const passed = {
      'drop-context': undefined,
      'reuse-context': earlierContext,
      answer: context,
    }[behaviour];
    earlierContext = context;
    void callDeeper(host, level, run, tally, passed).then(isWhole => {
      response.writeHead(isWhole ? 200 : 502);
      response.end('done');
    });
  };
}

async function callDeeper(
  host: TestHost,
  level: number,
  run: Run,
  tally: Tally,
  context: string | undefined,
): Promise<boolean> {
  if (level >= run.depth) return true;
  if (tally.executionsCount > MAX_EXECUTIONS) return true;
  const calls = Array.from({length: run.fanOut}, () => {
    tally.callsCount += 1;
    return sendAsCaller({
      port: host.path.localPort,
      service: `level${String(level + 1)}`,
      path: '/orders/1',
      headers: {
        'x-call-id': String(tally.callsCount),
        ...(context === undefined ? {} : {'fulmarhollow-context': context}),
      },
    });
  });
  tally.openCallsCount += calls.length;
  const answers = await Promise.allSettled(calls);
  tally.openCallsCount -= calls.length;
  return answers.every(
    answer => answer.status === 'fulfilled' && answer.value.statusCode === 200,
  );
}

function retriesSent(fleet: TestFleet): number {
  return fleet.hosts.reduce(
    (sum, host) => sum + host.metrics.countOf('retry.sent'),
    0,
  );
}

const RUNS = fc.record({
  depth: fc.integer({min: 1, max: MAX_DEPTH}),
  fanOut: fc.integer({min: 1, max: 4}),
  behaviours: fc.array(fc.constantFrom(...BEHAVIOURS), {maxLength: 24}),
});

test('retries stay within the bound over random graphs and faults', async t => {
  // Symptom: one request becomes hundreds at the bottom of the chain.
  // Sequence: a deep service fails, and every hop above it retries.
  // Cause: each hop counts its own retries, so the counts multiply.
  const fleet = await startTestFleet(POLICY, PLACES);
  t.teardown(() => fleet.dispose());
  await fc.assert(
    fc.asyncProperty(RUNS, async run => {
      const tally: Tally = {
        executionsCount: 0,
        callsCount: 0,
        openCallsCount: 0,
        perCall: new Map(),
      };
      for (const host of fleet.hosts) {
        const level = Number(/level(\d+)/.exec(host.name)?.[1]);
        host.upstream.setScript(createApplication(host, level, run, tally));
      }
      const before = retriesSent(fleet);
      const answer = await sendAsCaller({
        port: fleet.host('level1-1').path.callerPort,
        service: 'level1',
        path: '/orders/1',
        headers: {'x-call-id': 'root'},
      });
      await waitUntil('no call is open', () => tally.openCallsCount === 0);
      const sentCount = retriesSent(fleet) - before;
      const repeatedCount = [...tally.perCall.values()].reduce(
        (sum, count) => sum + count - 1,
        0,
      );
      const toldCount = Number(answer.headers['fulmarhollow-retries-spent']);
      if (sentCount > RETRY_BOUND) throw new Error(`sent ${String(sentCount)}`);
      if (repeatedCount > sentCount) {
        throw new Error(`repeated ${String(repeatedCount)}`);
      }
      if (toldCount > RETRY_BOUND || toldCount < sentCount) {
        throw new Error(`told ${String(toldCount)}, sent ${String(sentCount)}`);
      }
    }),
    {numRuns: 60, seed: 20261202, includeErrorInReport: true},
  );
  t.true(retriesSent(fleet) > 0);
});
