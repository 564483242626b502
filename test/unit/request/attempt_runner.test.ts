import test from 'ava';
import type {ExecutionResult} from '../../../src/connection/execution.js';
import {createAttemptTimeouts} from '../../../src/process/retries/attempt_timeouts.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createPlacementChooser} from '../../../src/process/placement/placement.js';
import {createStopPlan} from '../../../src/process/stop/stop_plan.js';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {createAttemptRunner} from '../../../src/request/attempt_runner.js';
import type {RetryRules} from '../../../src/request/retry_rules.js';
import {executionCall} from '../../fakes/execution_call.js';
import {serviceRoute, upstreamEntry} from '../../fakes/route_documents.js';

const SILENT: ExecutionResult = {
  kind: 'unknown',
  reason: 'silent',
  hasFailedCall: false,
};
const REFUSED: ExecutionResult = {
  kind: 'refused',
  reason: 'draining',
  evidence: 'not-dispatched',
};

const nowMillis = (): number => performance.now();

const RULES: RetryRules = {
  mayRetry: (_request, _result, ranCount) => ranCount < 4,
  mayReplaceAttempt: () => false,
};

/** Runs a request at upstreams 1 to 3, of which 2 and 3 are lost; returns the ids tried. */
async function tried(
  result: ExecutionResult,
  isRepeatable = true,
): Promise<readonly string[]> {
  const ids: string[] = [];
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  directory.put(
    ['1', '2', '3'].map(id => upstreamEntry({id, hostKey: `10.0.0.${id}:1`})),
  );
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
    local: {execute: () => Promise.resolve(REFUSED)},
    remote: {
      execute: target => {
        ids.push(target.id);
        return Promise.resolve(result);
      },
      isLost: ({id}) => id !== '1',
      queryLoads: () => undefined,
      sendCrashReport: () => undefined,
      dispose: () => undefined,
    },
    rules: RULES,
    attemptTimeouts: createAttemptTimeouts(),
    stop: createStopPlan(nowMillis),
    nowMillis,
    onAttempt: () => undefined,
    onRetry: () => undefined,
  });
  const route = serviceRoute();
  await attempts.run({
    route,
    service: 'orders',
    call: executionCall(nowMillis(), {
      isRepeatable,
      deadlineMillis: nowMillis() + 10_000,
      startByMillis: nowMillis() + 10_000,
    }),
  });
  return ids;
}

test('a read is retried at an upstream that replies again, not at a lost one', async t => {
  // Guards against reads that fail after 2 of 12 s while another zone is partitioned.
  // Both upstreams of the local zone were too busy to reply for 0.8 s and marked as lost.
  // Upstreams that had been tried were never tried again, so the last attempts went to
  // the two upstreams that were known to be partitioned.
  t.deepEqual((await tried(SILENT)).slice(0, 2), ['1', '1']);
});

test('an upstream that refuses a request is not tried again', async t => {
  t.deepEqual(await tried(REFUSED), ['1', '2', '3']);
});

test('a request that is not repeatable is not sent again to a silent upstream', async t => {
  t.false((await tried(SILENT, false)).slice(1).includes('1'));
});
