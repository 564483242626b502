import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import type {ExecutionResult} from '../../../src/connection/execution.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import {createAttemptTimeouts} from '../../../src/process/retries/attempt_timeouts.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createPlacementChooser} from '../../../src/process/placement/placement.js';
import {createStopPlan} from '../../../src/process/stop/stop_plan.js';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {createAttemptRunner} from '../../../src/request/attempt_runner.js';
import type {RetryRules} from '../../../src/request/retry_rules.js';
import {executionCall} from '../../fakes/execution_call.js';
import {serviceRoute, upstreamEntry} from '../../fakes/route_documents.js';

const GRACE_MILLIS = 6000;

/** When the test ends a request that is still waiting, in place of its deadline. */
const GIVE_UP_MILLIS = 1500;

const nowMillis = (): number => performance.now();

const RULES: RetryRules = {
  mayRetry: ({call}, _result, ranCount) =>
    !call.cancel.isCancelled && ranCount < 2,
  mayReplaceAttempt: (_request, ranCount) => ranCount + 1 < 2,
};

function answered(statusCode: number): ExecutionResult {
  return {
    kind: 'answered',
    answer: {
      statusCode,
      headers: [],
      bodyStart: Buffer.alloc(0),
      bodyRest: undefined,
      isUnframed: false,
    },
    calls: new Map(),
    hasFailedCall: false,
  };
}

/**
 * Runs a read whose first upstream never responds, and whose node stops to reply 50 ms
 * after the request was sent; the other upstream responds at once.
 */
async function runAtSilentNode(isStopping: boolean) {
  const stop = createStopPlan(nowMillis);
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  directory.put(
    ['1', '2'].map(id => upstreamEntry({id, hostKey: `10.0.0.${id}:1`})),
  );
  let silentId: string | undefined;
  const attempts = createAttemptRunner({
    quarantine: {holds: () => false},
    hostKey: 'here',
    placement: createPlacementChooser({
      directory,
      loadTable: createLoadTable(nowMillis),
      hostKey: 'here',
      zone: 'zone-a',
      region: 'region',
      nowMillis,
      random: () => 0.5,
    }),
    local: {execute: () => Promise.reject(new Error('no local upstream'))},
    remote: {
      execute: (target, call) => {
        if (silentId !== undefined) return Promise.resolve(answered(200));
        silentId = target.id;
        setTimeout(() => call.onSuspected?.('silent'), 50);
        return new Promise(resolve => {
          call.cancel.onCancel(reason => {
            resolve({kind: 'unknown', reason, hasFailedCall: false});
          });
        });
      },
      isLost: ({id}) => id === silentId,
      queryLoads: () => undefined,
      sendCrashReport: () => undefined,
      dispose: () => undefined,
    },
    rules: RULES,
    attemptTimeouts: createAttemptTimeouts(),
    stop,
    nowMillis,
    onAttempt: () => undefined,
    onRetry: () => undefined,
  });
  if (isStopping) stop.begin(GRACE_MILLIS);
  const source = createCancelSource<CancelCause>();
  const giveUp = setTimeout(() => {
    source.cancel('deadline');
  }, GIVE_UP_MILLIS);
  const result = await attempts.run({
    route: serviceRoute(),
    service: 'orders',
    call: executionCall(nowMillis(), {cancel: source.signal}),
  });
  clearTimeout(giveUp);
  return result.lastResult;
}

test('a read moves from a node that does not reply', async t => {
  t.like(await runAtSilentNode(false), {kind: 'answered'});
});

test('a read moves from a node that does not reply, also at a stopping node', async t => {
  // Guards against reads that wait at a dead node until their deadline because the node
  // that they entered at is stopping, although another upstream replies: the first
  // attempt goes on beside its successor, so that nothing is lost by the second one.
  t.like(await runAtSilentNode(true), {kind: 'answered'});
});
