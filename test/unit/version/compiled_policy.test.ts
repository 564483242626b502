/**
 * Compilation of policy documents: all problems at once, and route lookup.
 */
import test from 'ava';
import type {Policy} from '../../../src/version/policy.js';
import {compilePolicy} from '../../../src/version/compiled_policy.js';
import type {Mutable} from '../../fakes/policy_documents.js';
import {
  compileOrThrow,
  createPolicyBytes,
  createPolicyWith,
  encodeDocument,
} from '../../fakes/policy_documents.js';

type Change = (draft: Mutable<Policy>) => void;

function problemPaths(change: Change): readonly string[] {
  const compilation = compilePolicy(encodeDocument(createPolicyWith(change)));
  if (compilation.kind === 'compiled') return [];
  return compilation.problems.map(({path}) => path);
}

test('a valid document compiles with the digest of its bytes', t => {
  const documentBytes = createPolicyBytes(7);
  const compiled = compileOrThrow(documentBytes);
  t.is(compiled.version, 7);
  t.regex(compiled.digest, /^[0-9a-f]{64}$/);
  t.is(compiled.documentBytes, documentBytes);
  t.is(compiled.findService('desk')?.slotsCount, 20);
  t.is(compiled.findService('toString'), undefined);
});

test('route lookup resolves the class', t => {
  const compiled = compileOrThrow(createPolicyBytes(1));
  const order = compiled.findRoute('desk', 'POST', '/orders');
  t.is(order?.route.name, 'place-order');
  t.is(order?.classIndex, 0);
  t.is(compiled.findRoute('desk', 'GET', '/orders/17')?.classIndex, 1);
  t.is(compiled.findRoute('desk', 'PUT', '/orders'), undefined);
  t.is(compiled.findRoute('other', 'POST', '/orders'), undefined);
});

const fieldFaults: readonly (readonly [
  path: string,
  change: (draft: Mutable<Policy>) => void,
])[] = [
  ['$.version', draft => (draft.version = 0)],
  ['$.version', draft => (draft.version = 1.5)],
  ['$.deployment', draft => (draft.deployment = 'Upper Case')],
  ['$.classes', draft => (draft.classes = [])],
  ['$.classes[1].reservedRatio', d => (d.classes[1]!.reservedRatio = -0.1)],
  ['$.services[0].slotsCount', d => (d.services[0]!.slotsCount = -1)],
  ['$.services[0].routes[0].path', d => setPath(d, '/orders/../admin')],
  ['$.services[0].routes[0].path', d => setPath(d, '/%6frders')],
  ['$.services[0].routes[0].path', d => setPath(d, '/orders//x')],
  ['$.services[0].routes[0].path', d => setPath(d, '/a/*/b')],
  ['$.services[0].routes[0].path', d => setPath(d, 'orders')],
  ['$.services[0].routes[0].path', d => setPath(d, `/${'x'.repeat(256)}`)],
  ['$.timing.activationMillis', d => (d.timing.activationMillis = 60_000)],
];

const crossFieldFaults: readonly (readonly [string, Change])[] = [
  ['$.classes[2].name', d => (d.classes[2]!.name = 'orders')],
  ['$.availabilityZones[1].name', d => (d.availabilityZones[1]!.name = 'za')],
  ['$.classes', d => (d.classes[0]!.reservedRatio = 0.9)],
  [
    '$.services[0].routes[0].className',
    d => (d.services[0]!.routes[0]!.className = 'urgent'),
  ],
  ['$.services[0].slotsCount', d => (d.services[0]!.slotsCount = 201)],
  [
    '$.services[0].routes[1].deadlineMillis',
    d => (d.services[0]!.routes[1]!.deadlineMillis = 200),
  ],
  ['$.services[0].routes[2].name', d => addRoute(d, 'place-order', '/other')],
  ['$.services[0].routes[2].path', d => addRoute(d, 'second', '/orders/:no')],
  ['$.services[0].routes[2].path', d => addRoute(d, 'second', '/:kind/open')],
  [
    '$.timing.retryAfterMinimumMillis',
    d => (d.timing.retryAfterMinimumMillis = 10_001),
  ],
];

function setPath(draft: Mutable<Policy>, path: string): void {
  draft.services[0]!.routes[0]!.path = path;
}

function addRoute(draft: Mutable<Policy>, name: string, path: string): void {
  const routes = draft.services[0]!.routes;
  routes.push({...routes[1]!, name, path});
}

for (const [path, change] of [...fieldFaults, ...crossFieldFaults]) {
  test(`fault at ${path} caused by ${change.toString()}`, t => {
    t.true(problemPaths(change).includes(path), problemPaths(change).join());
  });
}

test('all problems are reported at once with the found and the allowed values', t => {
  const document = createPolicyWith(draft => {
    draft.ejection.ejectionMillis = -5;
    draft.services[0]!.routes[0]!.repeat = 'sometimes' as 'never';
    delete (draft.bodies as Partial<typeof draft.bodies>).requestBytes;
    Object.assign(draft.timing, {drainSeconds: 3});
  });
  const compilation = compilePolicy(encodeDocument(document));
  t.deepEqual(
    compilation.kind === 'invalid' &&
      compilation.problems.map(({path, value}) => [path, value]),
    [
      ['$.services[0].routes[0].repeat', 'sometimes'],
      ['$.bodies.requestBytes', undefined],
      ['$.ejection.ejectionMillis', -5],
      ['$.timing.drainSeconds', 3],
    ],
  );
  const allowed =
    compilation.kind === 'invalid'
      ? compilation.problems.map(problem => problem.allowed)
      : [];
  t.is(allowed[0], 'one of "safe", "idempotent", "never"');
  t.is(allowed[1], 'a whole number of bytes, from 0 to 67108864');
  t.is(allowed[2], 'a whole number of milliseconds, from 1 to 600000');
  t.true(allowed[3]?.startsWith('only the fields activationMillis, '));
});
