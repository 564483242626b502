import test from 'ava';
import type {ExecutionResult} from '../../../src/connection/execution.js';
import {createAttemptTimeouts} from '../../../src/process/repeats/attempt_timeouts.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createPlacementChooser} from '../../../src/process/placement/placement.js';
import {createStopPlan} from '../../../src/process/stop/stop_plan.js';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {createAttemptRunner} from '../../../src/request/attempt_runner.js';
import type {RepeatRules} from '../../../src/request/repeat_rules.js';
import {executionCall} from '../../fakes/execution_call.js';
import {serviceRoute, upstreamEntry} from '../../fakes/route_documents.js';

const SILENT: ExecutionResult = {
  kind: 'unknown',
  reason: 'silent',
  hasFailedCall: false,
};
const REFUSED: ExecutionResult = {kind: 'refused', reason: 'draining'};

const nowMillis = (): number => performance.now();

const RULES: RepeatRules = {
  mayRetry: (_request, _end, sentCount) => sentCount < 4,
  mayAbandonAttempt: () => false,
};

/** Tries upstreams 1 to 3 of which the last two are lost; returns whom. */
async function tried(
  end: ExecutionResult,
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
        return Promise.resolve(end);
      },
      isLost: ({id}) => id !== '1',
      queryLoads: () => undefined,
      sendCrashReport: () => undefined,
      queryChanges: () => Promise.resolve(undefined),
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

test('a read turns to one that replies again, not to one that is lost', async t => {
  // Symptom: while a zone is cut off, a read of the other zone fails after two
  // seconds of twelve. Sequence: both upstreams of its own zone were too busy
  // to reply for 0.8 s and taken for lost; its last attempts went to the two
  // that were known to be cut off. Cause: who was tried once was never asked
  // again, though it replied by then.
  t.deepEqual((await tried(SILENT)).slice(0, 2), ['1', '1']);
});

test('one that refuses is not asked again', async t => {
  t.deepEqual(await tried(REFUSED), ['1', '2', '3']);
});

test('what may run once is not sent again to one that was silent', async t => {
  t.false((await tried(SILENT, false)).slice(1).includes('1'));
});
