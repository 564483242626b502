import * as Effect from 'effect/Effect';
import test from 'ava';
import type {KeyDecision, KeyResult} from '../../../src/process/key_records.js';
import {KEPT_ANSWERS_BYTES} from '../../../src/process/kept_records.js';
import type {KeyedNode} from '../../fakes/keyed_nodes.js';
import {
  createZoneList,
  KEY_RULES,
  startKeyedNode,
} from '../../fakes/keyed_nodes.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

/** The only host of a zone, past its start and the window after it. */
function startSettledNode(): KeyedNode {
  const clock = createManualTimeSource();
  const node = startKeyedNode('h1', clock, createZoneList(1, ['h1']));
  for (let second = 0; second < 30; second += 1) {
    clock.advance(1_000);
    node.lease.beginRound();
  }
  return node;
}

function beginRun(node: KeyedNode, key: string): (result: KeyResult) => void {
  const decision = node.begin(key);
  if (decision.kind !== 'run') throw new Error(`Decided ${decision.kind}.`);
  return decision.finish;
}

function ranWith(bytes: number): KeyResult {
  const body = new Uint8Array(bytes);
  return {kind: 'ran', answer: {statusCode: 201, headers: [], body}};
}

function reasonOf(decision: KeyDecision): string {
  return decision.kind === 'refuse' ? decision.reason : decision.kind;
}

test('a repeat during the run joins it, one after it gets the answer', async t => {
  const node = startSettledNode();
  const finish = beginRun(node, 'za.1');
  const repeat = node.begin('za.1');
  t.is(repeat.kind, 'join');
  const result = ranWith(10);
  finish(result);
  if (repeat.kind === 'join') {
    t.deepEqual(await Effect.runPromise(repeat.result), result);
  }
  t.like(node.begin('za.1'), {kind: 'replay', answer: {statusCode: 201}});
});

test('a key with another request is a conflict, during and after the run', t => {
  const node = startSettledNode();
  const finish = beginRun(node, 'za.1');
  t.is(node.begin('za.1', 'other').kind, 'conflict');
  finish(ranWith(10));
  t.is(node.begin('za.1', 'other').kind, 'conflict');
});

const AFTERMATHS: readonly (readonly [KeyResult, KeyDecision['kind']])[] = [
  [{kind: 'not-run'}, 'run'],
  [{kind: 'unknown'}, 'unknown'],
  [ranWith(KEY_RULES.answerBytes), 'replay'],
  [ranWith(KEY_RULES.answerBytes + 1), 'unknown'],
];

for (const [result, kind] of AFTERMATHS) {
  const bytes = 'answer' in result ? result.answer?.body.byteLength : 0;
  test(`after ${result.kind} with ${String(bytes)} bytes: ${kind}`, t => {
    const node = startSettledNode();
    beginRun(node, 'za.1')(result);
    t.is(node.begin('za.1').kind, kind);
  });
}

// Symptom: an old order runs again under load. Sequence: records fill up, the
// oldest is dropped, its caller repeats. Cause: room was made by forgetting.
test('full records refuse new keys and say when to come back', t => {
  const node = startSettledNode();
  for (let number = 0; number < KEY_RULES.recordsCount; number += 1) {
    beginRun(node, `za.${String(number)}`)(ranWith(1));
  }
  const refusal = node.begin('za.new');
  t.deepEqual(refusal, {
    kind: 'refuse',
    reason: 'key-capacity',
    retryAfterMillis: KEY_RULES.windowMillis,
  });
  t.is(node.begin('za.0').kind, 'replay');
  node.clock.advance(KEY_RULES.windowMillis);
  node.lease.beginRound();
  t.is(node.kept.count, KEY_RULES.recordsCount);
});

test('refusals by reason', t => {
  const node = startSettledNode();
  t.is(reasonOf(node.begin('two words')), 'key-malformed');
  t.is(reasonOf(node.begin('zb.1')), 'key-home-unavailable');
  beginRun(node, 'za.1')(ranWith(1));
  node.records.stopNewKeys();
  t.is(reasonOf(node.begin('za.2')), 'draining');
  t.is(node.begin('za.1').kind, 'replay');
  const fresh = startSettledNode();
  fresh.clock.advance(KEY_RULES.leaseMillis);
  t.is(reasonOf(fresh.begin('za.1')), 'view-unconfirmed');
});

test('kept answers are bounded in total; their records stay', t => {
  const {kept} = startSettledNode();
  const bytes = KEPT_ANSWERS_BYTES / 2 + 1;
  for (const key of ['a', 'b']) {
    kept.start(key, Buffer.from('f'));
    kept.finish(key, ranWith(bytes), 1);
  }
  t.is(kept.answersBytes, bytes);
  t.deepEqual(kept.get('b')?.result, {kind: 'ran', answer: undefined});
  kept.forgetBefore(1);
  t.is(kept.answersBytes, 0);
  t.is(kept.count, 0);
});
