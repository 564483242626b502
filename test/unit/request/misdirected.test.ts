import test from 'ava';
import type {ExecutionResult} from '../../../src/connection/execution.js';
import type {UpstreamResult} from '../../../src/connection/upstream_result.js';
import {createAdmissionLevel} from '../../../src/process/admission/admission_level.js';
import {createCallTrees} from '../../../src/process/admission/call_trees.js';
import {createCrashEvidence} from '../../../src/process/quarantine/crash_evidence.js';
import {createInFlightParents} from '../../../src/process/retries/in_flight_parents.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createRejectionRate} from '../../../src/process/admission/rejection_rate.js';
import {createRelativeSlowness} from '../../../src/process/placement/relative_slowness.js';
import {NO_STARTED_ORDERS} from '../../../src/process/retries/started_orders.js';
import {createRetryBudget} from '../../../src/process/retries/retry_budget.js';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {createUpstreamQueue} from '../../../src/process/admission/upstream_queue.js';
import type {HopReason} from '../../../src/protocol/hop_messages.js';
import {createCrashDetector} from '../../../src/request/crash_detector.js';
import {createCrashQuarantine} from '../../../src/request/crash_quarantine.js';
import type {LocalCall} from '../../../src/request/local_call.js';
import {createLocalExecution} from '../../../src/request/local_execution.js';
import {createLocalUpstream} from '../../../src/request/local_upstream.js';
import {createRetryRules} from '../../../src/request/retry_rules.js';
import {executionCall} from '../../fakes/execution_call.js';
import {serviceRoute, upstreamEntry} from '../../fakes/route_documents.js';

/** Reason with which an upstream rejects a request for another upstream id. */
const MISDIRECTED = 'misdirected' as HopReason;

const ADDRESS_REUSE_MILLIS = 2000;

const BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 8};

const ANSWER = {
  statusCode: 200,
  headers: [],
  isUnframed: false,
  bodyStart: Buffer.alloc(0),
  bodyRest: undefined,
};

/** A node whose upstream has another id than its published entry. */
function createFixture(
  ownService = 'unknown',
  actualId?: string,
  writtenService: () => string | undefined = () => ownService,
) {
  let now = 0;
  let settingsReadsCount = 0;
  const sentIds: string[] = [];
  const nowMillis = (): number => now;
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  directory.put([upstreamEntry()]);
  const upstream = createLocalUpstream({
    directory,
    readOwnService: () => {
      settingsReadsCount += 1;
      return writtenService();
    },
    addressReuseMillis: ADDRESS_REUSE_MILLIS,
    nowMillis,
    onChange: () => undefined,
  });
  const execution = createLocalExecution({
    upstream,
    queue: createUpstreamQueue(nowMillis),
    level: createAdmissionLevel(),
    rejections: createRejectionRate(nowMillis),
    slowness: createRelativeSlowness(),
    parents: createInFlightParents(),
    crashes: createCrashDetector({
      probe: () => Promise.resolve('accepted'),
      nowMillis,
      onCrash: () => undefined,
    }),
    quarantine: createCrashQuarantine({
      evidence: createCrashEvidence({
        nowMillis,
        onQuarantined: () => undefined,
        onReleased: () => undefined,
      }),
      onRefused: () => undefined,
      onCleared: () => undefined,
    }),
    sender: {
      send: ({upstreamId}, onEnd: (result: UpstreamResult) => void) => {
        sentIds.push(upstreamId);
        onEnd(
          upstreamId === actualId
            ? {kind: 'answered', answer: ANSWER}
            : {kind: 'not-run', reason: MISDIRECTED, actualId},
        );
      },
      closeIdleConnections: () => undefined,
      dispose: () => undefined,
    },
    announcements: {
      recordDispatch: () => undefined,
      observe: () => undefined,
    },
    pacer: {takeUnchecked: () => undefined},
    startedOrders: NO_STARTED_ORDERS,
    budget: createRetryBudget({
      bound: () => BOUND,
      nowMillis,
      nodesCount: () => 1,
    }),
    trees: createCallTrees(),
    ownService: () => ownService,
    nowMillis,
  });
  const call = (upstreamId: string): LocalCall => ({
    ...executionCall(now),
    upstreamId,
    fetchBody: () => Buffer.alloc(0),
  });
  return {
    execute: (upstreamId: string): Promise<ExecutionResult> =>
      execution.execute(call(upstreamId)),
    directory,
    markMisdirected: upstream.markMisdirected,
    markAnswered: upstream.markAnswered,
    sentIds,
    settingsReadsCount: () => settingsReadsCount,
    nowMillis,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('an upstream that rejects an id does not get a request from each sender', async t => {
  // Guards against 284 retries in 10 s at a service where 276 are allowed. After a power
  // loss all upstreams restart with new ids while the old entries are still listed, and
  // each request for an old id is dispatched and rejected. Only the sender recorded the
  // rejection, and each node is a sender.
  const {execute, sentIds, advance} = createFixture();
  t.deepEqual(await execute('u-1'), {
    kind: 'refused',
    reason: MISDIRECTED,
    evidence: 'rejected',
  });
  for (let sender = 0; sender < 5; sender += 1) {
    const result = await execute('u-1');
    t.deepEqual(result, {
      kind: 'refused',
      reason: 'other-upstream',
      evidence: 'not-dispatched',
    });
  }
  t.is(sentIds.length, 1);
  // The rejection expires, since it may have been faulty.
  advance(2000);
  await execute('u-1');
  t.is(sentIds.length, 2);
});

test('an attempt after a misdirected one is charged as a retry', t => {
  // Same sequence as above: the rejecting upstream received the request, so the next
  // attempt is a retry. The budget did not charge it, as after a refusal by a node.
  const {nowMillis} = createFixture();
  const trees = createCallTrees();
  const rules = createRetryRules({
    budget: createRetryBudget({
      bound: () => BOUND,
      nowMillis,
      nodesCount: () => 1,
    }),
    trees,
    loadTable: createLoadTable(nowMillis),
    nowMillis,
  });
  const request = {
    route: serviceRoute(),
    service: 'orders',
    call: executionCall(nowMillis()),
  };
  const mayRetry = (): boolean =>
    rules.mayRetry(
      request,
      {
        kind: 'refused',
        reason: MISDIRECTED,
        evidence: 'rejected',
      },
      0,
    );
  const decisions = Array.from({length: 12}, mayRetry);
  t.is(decisions.filter(Boolean).length, 3);
  t.true(
    rules.mayRetry(
      request,
      {
        kind: 'refused',
        reason: 'other-upstream',
        evidence: 'not-dispatched',
      },
      0,
    ),
  );
});

test('a request for an earlier start is executed by the upstream that replaced it', async t => {
  // Guards against two seconds after a power loss in which half of all requests are
  // refused or fail in a downstream call. The upstreams restart with new ids, which are
  // published with their next heartbeat, while the old entries are still listed. The
  // actual id in the upstream's rejection was discarded.
  const {execute, sentIds} = createFixture('orders', 'u-2');
  for (let index = 0; index < 3; index += 1) {
    t.is((await execute('u-1')).kind, 'answered');
  }
  t.deepEqual(sentIds, ['u-1', 'u-2', 'u-2', 'u-2']);
});

test('a request is dispatched with an old id once, not once a second', async t => {
  // Guards against 51 extra dispatches at 15 hosts in 3 s: after a power loss old entries
  // are listed for three heartbeats, and at each host one request a second was rejected
  // again and dispatched twice.
  const {execute, sentIds, advance} = createFixture('orders', 'u-2');
  for (let index = 0; index < 5; index += 1) {
    await execute('u-1');
    advance(900);
  }
  t.is(sentIds.filter(id => id === 'u-1').length, 1);
  t.is(sentIds.length, 6);
});

test('an upstream of another service does not execute requests for an earlier one', async t => {
  // The address now belongs to another service, and the old entry is still listed.
  const {execute, sentIds} = createFixture('billing', 'u-2');
  t.is((await execute('u-1')).kind, 'refused');
  t.is((await execute('u-1')).kind, 'refused');
  t.deepEqual(sentIds, ['u-1']);
});

test('an upstream that took over the address of another service does not execute its requests', async t => {
  // Guards against orders run by another service: an upstream of it starts at the address
  // of a crashed one, before the node has noticed the change of its settings.
  const {execute, sentIds} = createFixture('orders', 'u-2', () => 'billing');
  for (let index = 0; index < 3; index += 1) {
    t.is((await execute('u-1')).kind, 'refused');
  }
  t.deepEqual(sentIds, ['u-1']);
});

test('the published service of an upstream prevails over the settings', async t => {
  // Guards against requests run by another service while the settings name the former one.
  const {execute, directory, sentIds} = createFixture('orders', 'u-2');
  directory.put([
    upstreamEntry({id: 'u-2', service: 'billing', hostKey: 'h-2'}),
  ]);
  t.is((await execute('u-1')).kind, 'refused');
  t.deepEqual(sentIds, ['u-1']);
});

test('the settings tell the service of an upstream only until its address may be reused', async t => {
  // Guards against requests run by another service: its upstream has started at the address
  // of a crashed one, and the settings still name the former service.
  const {execute, markAnswered, sentIds, advance} = createFixture(
    'orders',
    'u-2',
  );
  advance(5000);
  markAnswered('u-1', 5000 - ADDRESS_REUSE_MILLIS);
  t.is((await execute('u-1')).kind, 'refused');
  t.deepEqual(sentIds, ['u-1']);
  advance(1000);
  // It ran a moment ago, so that the one that rejects its id has the same service.
  markAnswered('u-1', 6001 - ADDRESS_REUSE_MILLIS);
  t.is((await execute('u-1')).kind, 'answered');
  t.deepEqual(sentIds, ['u-1', 'u-1', 'u-2']);
});

test('an upstream executes no requests for another id while its service is unknown', async t => {
  // Guards against requests run by another service while the settings are being replaced.
  const written: {service?: string} = {};
  const {execute, sentIds, advance} = createFixture(
    'orders',
    'u-2',
    () => written.service,
  );
  t.is((await execute('u-1')).kind, 'refused');
  t.deepEqual(sentIds, ['u-1']);
  written.service = 'orders';
  advance(1000);
  t.is((await execute('u-1')).kind, 'answered');
  t.deepEqual(sentIds, ['u-1', 'u-1', 'u-2']);
});

test('the settings are read once for an id that is rejected many times', async t => {
  // Guards against a read of the settings for each of the requests that were dispatched
  // before the first rejection.
  const {markMisdirected, settingsReadsCount, advance} =
    createFixture('orders');
  for (let index = 0; index < 50; index += 1) markMisdirected('u-1', 'u-2');
  t.is(settingsReadsCount(), 1);
  markMisdirected('u-1', 'u-3');
  t.is(settingsReadsCount(), 2);
  advance(1000);
  markMisdirected('u-1', 'u-3');
  t.is(settingsReadsCount(), 3);
});

test('a request for an earlier start is not executed by an upstream that is leaving', async t => {
  // Guards against requests that reach a leaving upstream because they name its earlier
  // start.
  const {execute, directory, sentIds} = createFixture('orders', 'u-2');
  directory.markLeaving('u-2');
  t.deepEqual(await execute('u-1'), {
    kind: 'refused',
    reason: MISDIRECTED,
    evidence: 'rejected',
  });
  t.deepEqual(await execute('u-1'), {
    kind: 'refused',
    reason: 'leaving',
    evidence: 'not-dispatched',
  });
  t.deepEqual(sentIds, ['u-1']);
});
