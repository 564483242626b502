/**
 * Contract between operators and the policy document: whatever is published, a
 * node keeps its current version or replaces it completely by a newer valid one.
 */
import test from 'ava';
import {createHttpDocuments} from '../../src/daemon/http_documents.js';
import {createConfigurationHolder} from '../../src/process/membership/configuration_holder.js';
import {MAX_DOCUMENT_BYTES} from '../../src/version/json_document.js';
import {createPolicyBytes, encodeDocument} from '../fakes/policy_documents.js';

const HELD_VERSION = 5;
const NEXT = createPolicyBytes(HELD_VERSION + 1);

/** Result of offering a document. */
type OfferKind = 'accepted' | 'invalid' | 'not-newer';

interface Fault {
  readonly name: string;
  readonly documentBytes: Uint8Array;
  readonly kind: OfferKind;
  /** Paths that the rejection reason must contain. */
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
      draft.services[0]!.routes[0]!.retryBound = true as unknown as number;
    }),
    '$.deployment',
    '$.classes[0].reservedRatio',
    '$.services[0].routes[0].retryBound',
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
      Object.assign(draft.timing, {drainSeconds: 60});
    }),
    '$.comment',
    '$.timing.drainSeconds',
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
    name: 'a lower version',
    documentBytes: createPolicyBytes(4),
    kind: 'not-newer',
  },
  {
    name: 'the same version with other content',
    documentBytes: createPolicyBytes(5, draft => {
      draft.timing.drainMillis = 1;
    }),
    kind: 'not-newer',
  },
  {
    name: 'the same document again',
    documentBytes: createPolicyBytes(5),
    kind: 'not-newer',
  },
];

function createFixture() {
  const documents = createHttpDocuments('http://127.0.0.1:9');
  const holder = createConfigurationHolder();
  const offer = (bytes: Uint8Array) => {
    const text = Buffer.from(bytes).toString('utf8');
    const decoded = documents.decodeConfiguration({
      key: 'policy',
      revision: 1,
      text,
    });
    if (decoded.kind !== 'valid') return decoded;
    return {kind: holder.update(decoded.value), reason: ''};
  };
  offer(createPolicyBytes(HELD_VERSION));
  return {holder, offer};
}

for (const {name, documentBytes, kind, paths = []} of faults) {
  test(`${name}: ${kind}, and the current version is kept`, t => {
    const {holder, offer} = createFixture();
    const document = holder.current()?.document;
    const result = offer(documentBytes);
    t.is(result.kind, kind);
    const reason = result.kind === 'invalid' ? result.reason : '';
    for (const path of paths) t.true(reason.includes(`${path}: `), reason);
    t.is(holder.current()?.document, document);
    t.is(holder.current()?.version, HELD_VERSION);
  });
}

test('the next valid version is accepted after all faults', t => {
  const {holder, offer} = createFixture();
  for (const {documentBytes} of faults) offer(documentBytes);
  t.is(offer(NEXT).kind, 'accepted');
  t.is(holder.current()?.version, HELD_VERSION + 1);
});

test('a document with very many problems is rejected with a bounded reason', t => {
  const {offer} = createFixture();
  const names = Array.from({length: 20_000}, (_, index) => [`f${index}`, 0]);
  const result = offer(encodeDocument(Object.fromEntries(names)));
  t.is(result.kind, 'invalid');
  const reason = result.kind === 'invalid' ? result.reason : '';
  t.regex(reason, /and \d+ more$/);
  t.true(reason.length < 51 * 600);
});
