/**
 * Contract between operators and the policy document: whatever is published,
 * the version in force stays or is replaced by a newer valid one, whole.
 */
import test from 'ava';
import {createPolicyStore} from '../../src/process/in_memory_policy_store.js';
import type {PolicyOfferResult} from '../../src/process/policy_store.js';
import {MAX_DOCUMENT_BYTES} from '../../src/version/json_document.js';
import {createCountingMetrics} from '../fakes/counting_metrics.js';
import {createManualTimeSource} from '../fakes/manual_time_source.js';
import {createPolicyBytes, encodeDocument} from '../fakes/policy_documents.js';

const HELD_VERSION = 5;
const NEXT = createPolicyBytes(HELD_VERSION + 1);
const ACTIVATION_MILLIS = 1_000;

interface Fault {
  readonly name: string;
  readonly documentBytes: Uint8Array;
  readonly kind: PolicyOfferResult['kind'];
  /** Places that the refusal must name. */
  readonly paths?: readonly string[];
}

function invalid(
  name: string,
  documentBytes: Uint8Array,
  ...paths: readonly string[]
): Fault {
  return {name, documentBytes, kind: 'invalid', paths};
}

function textBytes(text: string): Uint8Array {
  return new TextEncoder().encode(text);
}

const nextText = new TextDecoder().decode(NEXT);

const faults: readonly Fault[] = [
  invalid('empty', new Uint8Array(), '$'),
  invalid('truncated', NEXT.subarray(0, NEXT.length - 1), '$'),
  invalid('not JSON', textBytes('<policy version="6"/>'), '$'),
  invalid('not UTF-8', Uint8Array.of(0x7b, 0xff, 0xfe, 0x7d), '$'),
  invalid('JSON of another kind', textBytes('[]'), '$'),
  invalid('null', textBytes('null'), '$'),
  invalid(
    'too large by one byte',
    textBytes(nextText.padEnd(MAX_DOCUMENT_BYTES + 1)),
    '$',
  ),
  invalid('deeply nested', textBytes('['.repeat(500_000)), '$'),
  invalid(
    'wrong types',
    createPolicyBytes(6, draft => {
      draft.deployment = 7 as unknown as string;
      draft.classes[0]!.reservedRatio = '0.2' as unknown as number;
      draft.services[0]!.routes[0]!.isKeyRequired = 1 as unknown as boolean;
    }),
    '$.deployment',
    '$.classes[0].reservedRatio',
    '$.services[0].routes[0].isKeyRequired',
  ),
  invalid(
    'duplicate names',
    createPolicyBytes(6, draft => {
      draft.classes.push(draft.classes[0]!);
      draft.services.push(draft.services[0]!);
    }),
    '$.classes[3].name',
    '$.services[1].name',
  ),
  invalid(
    'negative numbers',
    createPolicyBytes(6, draft => {
      draft.services[0]!.queueWaitMillis = -1;
      draft.retryBudget.minimumPerSecond = -1;
    }),
    '$.services[0].queueWaitMillis',
    '$.retryBudget.minimumPerSecond',
  ),
  invalid(
    'numbers beyond what JSON readers agree on',
    textBytes(nextText.replace('"version":6', '"version":1e400')),
    '$.version',
  ),
  invalid(
    'unknown fields',
    createPolicyBytes(6, draft => {
      Object.assign(draft, {comment: 'urgent'});
      Object.assign(draft.keys, {windowSeconds: 60});
    }),
    '$.comment',
    '$.keys.windowSeconds',
  ),
  invalid(
    'a field that names the prototype',
    textBytes(nextText.replace('{', '{"__proto__":{"version":9},')),
    '$.__proto__',
  ),
  invalid(
    'another format',
    textBytes(nextText.replace('"formatVersion":1', '"formatVersion":2')),
    '$.formatVersion',
  ),
  invalid(
    'another deployment',
    createPolicyBytes(6, draft => {
      draft.deployment = 'elsewhere';
    }),
    '$.deployment',
  ),
  {
    name: 'a version that goes down',
    documentBytes: createPolicyBytes(4),
    kind: 'older',
  },
  {
    name: 'the same version with other content',
    documentBytes: createPolicyBytes(5, draft => {
      draft.timing.drainMillis = 1;
    }),
    kind: 'digest-conflict',
  },
  {
    name: 'the same document again',
    documentBytes: createPolicyBytes(5),
    kind: 'already-held',
  },
];

function createHoldingStore() {
  const time = createManualTimeSource();
  const metrics = createCountingMetrics();
  const store = createPolicyStore({time, metrics});
  store.offer(createPolicyBytes(HELD_VERSION), 'platform');
  return {time, metrics, store};
}

for (const {name, documentBytes, kind, paths = []} of faults) {
  test(`${name}: ${kind}, and the version held stays`, t => {
    const {time, metrics, store} = createHoldingStore();
    t.teardown(() => store.dispose());
    const digest = store.newest()?.digest;
    const result = store.offer(documentBytes, 'platform');
    t.is(result.kind, kind);
    const found = result.kind === 'invalid' ? result.problems : [];
    t.deepEqual(
      found.map(problem => problem.split(': ')[0]).sort(),
      [...paths].sort(),
    );
    time.advance(10 * ACTIVATION_MILLIS);
    t.is(store.newest()?.digest, digest);
    t.is(store.inForce()?.version, HELD_VERSION);
    const counted = metrics
      .totals()
      .find(total => total.tags['result'] === kind);
    t.is(counted?.value, 1);
  });
}

test('after any fault the next valid version is accepted', t => {
  const {time, store} = createHoldingStore();
  t.teardown(() => store.dispose());
  for (const {documentBytes} of faults) store.offer(documentBytes, 'platform');
  t.is(store.offer(NEXT, 'platform').kind, 'accepted');
  time.advance(ACTIVATION_MILLIS);
  t.is(store.inForce()?.version, HELD_VERSION + 1);
});

test('a document with very many faults is refused with a bounded report', t => {
  const {store} = createHoldingStore();
  t.teardown(() => store.dispose());
  const names = Array.from({length: 20_000}, (_, index) => [`f${index}`, 0]);
  const result = store.offer(
    encodeDocument(Object.fromEntries(names)),
    'platform',
  );
  t.is(result.kind, 'invalid');
  const problems = result.kind === 'invalid' ? result.problems : [];
  t.is(problems.length, 51);
  t.regex(problems.at(-1) ?? '', /^and \d+ more$/);
  t.true(problems.every(problem => problem.length < 600));
});
