import {Readable} from 'node:stream';
import test from 'ava';
import type {
  ExecutionCall,
  ExecutionResult,
} from '../../../src/connection/execution.js';
import {startAttempt} from '../../../src/request/replaceable_attempt.js';
import {createReplacedAttempts} from '../../../src/request/replaced_attempts.js';
import {executionCall} from '../../fakes/execution_call.js';

/** An attempt whose end and suspicions the test decides. */
function createHeldAttempt() {
  let startedCall: ExecutionCall | undefined;
  let resolve: (result: ExecutionResult) => void = () => undefined;
  const attempt = startAttempt({
    call: executionCall(0),
    attemptTimeoutMillis: undefined,
    execute: call => {
      startedCall = call;
      return new Promise(onResult => {
        resolve = onResult;
      });
    },
    mayReplace: () => true,
  });
  return {
    attempt,
    suspect: () => startedCall?.onSuspected?.('silent'),
    cancelCause: () => startedCall?.cancel.cause,
    end: (statusCode: number, bodyRest?: Readable) => {
      resolve(answered(statusCode, bodyRest));
    },
    fail: () => {
      resolve({kind: 'unknown', reason: 'deadline', hasFailedCall: false});
    },
  };
}

function answered(statusCode: number, bodyRest?: Readable): ExecutionResult {
  return {
    kind: 'answered',
    answer: {
      statusCode,
      headers: [],
      bodyStart: Buffer.alloc(0),
      bodyRest,
      isUnframed: false,
    },
    calls: new Map(),
    hasFailedCall: false,
  };
}

test('a replaced attempt continues and its response is the result', async t => {
  // Guards against reads that fail with their second attempt while the first one runs.
  const first = createHeldAttempt();
  first.suspect();
  t.is(await first.attempt.endedOrReplaced, 'silent');
  t.is(first.cancelCause(), undefined);
  const replaced = createReplacedAttempts();
  replaced.add(first.attempt, 'u-1');
  const outcome = replaced.settle();
  first.end(200);
  t.like(await outcome, {upstreamId: 'u-1', result: {kind: 'answered'}});
});

test('a successful response cancels the other attempts', async t => {
  const [first, second] = [createHeldAttempt(), createHeldAttempt()];
  const replaced = createReplacedAttempts();
  replaced.add(first.attempt, 'u-1');
  replaced.add(second.attempt, 'u-2');
  let successesCount = 0;
  replaced.onSuccess(() => {
    successesCount += 1;
  });
  second.end(200);
  t.like(await replaced.settle(), {upstreamId: 'u-2'});
  t.is(first.cancelCause(), 'timeout');
  t.is(successesCount, 1);
});

test('a failure of an upstream is a better result than none', async t => {
  const [first, second] = [createHeldAttempt(), createHeldAttempt()];
  const replaced = createReplacedAttempts();
  replaced.add(first.attempt, 'u-1');
  replaced.add(second.attempt, 'u-2');
  first.end(500);
  second.fail();
  t.like(await replaced.settle(), {upstreamId: 'u-1'});
});

test('the body of a response that is not needed is released', async t => {
  // Guards against upstreams that hold a slot for a body that is never read.
  const [first, second, third] = [
    createHeldAttempt(),
    createHeldAttempt(),
    createHeldAttempt(),
  ];
  const replaced = createReplacedAttempts();
  for (const {attempt} of [first, second, third]) replaced.add(attempt, 'u');
  const bodies = [500, 500, 200].map(
    () => new Readable({read: () => undefined}),
  );
  first.end(500, bodies[0]);
  second.end(500, bodies[1]);
  third.end(200, bodies[2]);
  await replaced.settle();
  t.deepEqual(
    bodies.map(({destroyed}) => destroyed),
    [true, true, false],
  );
  replaced.discard();
  t.true(bodies[2]!.destroyed);
});
