import test from 'ava';
import {createNextDraft} from '../../../../src/cli/console/document_builder.js';
import type {DraftGroup} from '../../../../src/cli/console/draft.js';
import {applyEdit, parseEdit} from '../../../../src/cli/console/draft_edits.js';
import {
  compileOrThrow,
  createPolicyBytes,
} from '../../../fakes/policy_documents.js';

const DRAFT = createNextDraft(compileOrThrow(createPolicyBytes(5)).policy);

function namesOf(draft: DraftGroup, ...path: readonly string[]) {
  let node: unknown = draft;
  for (const segment of path) node = (node as DraftGroup)[segment];
  return (node as readonly DraftGroup[]).map(item => item['name']);
}

const [FIRST, SECOND, THIRD] = namesOf(DRAFT, 'classes');

const edits: readonly (readonly [action: string, names: readonly unknown[]])[] =
  [
    ['up classes.1', [SECOND, FIRST, THIRD]],
    ['down classes.0', [SECOND, FIRST, THIRD]],
    ['down classes.1', [FIRST, THIRD, SECOND]],
    ['up classes.0', [FIRST, SECOND, THIRD]],
    ['down classes.2', [FIRST, SECOND, THIRD]],
    ['remove classes.1', [FIRST, THIRD]],
    ['add classes', [FIRST, SECOND, THIRD, '']],
  ];

for (const [action, names] of edits) {
  test(`${action} changes only the list`, t => {
    const edited = applyEdit(DRAFT, parseEdit(action));
    t.deepEqual(namesOf(edited, 'classes'), names);
    t.deepEqual({...edited, classes: []}, {...DRAFT, classes: []});
    t.is(namesOf(DRAFT, 'classes').length, 3);
  });
}

test('a new route has no default class or retry rule', t => {
  const edited = applyEdit(DRAFT, parseEdit('add services.0.routes'));
  const [service] = edited['services'] as readonly DraftGroup[];
  const route = (service!['routes'] as readonly DraftGroup[]).at(-1)!;
  const empty = Object.keys(route).filter(name => route[name] === '');
  t.deepEqual(empty, ['name', 'method', 'path', 'className', 'repeat']);
});

test('a new service has one empty route', t => {
  const edited = applyEdit(DRAFT, parseEdit('add services'));
  const {length} = edited['services'] as readonly DraftGroup[];
  t.deepEqual(namesOf(edited, 'services', String(length - 1), 'routes'), ['']);
});

const faults = [
  'add',
  'burn classes.0',
  'add nowhere',
  'add services.99.routes',
  'add services.0.name',
  'add __proto__',
  'remove classes.9',
  'remove classes.-1',
  'remove classes.length',
  'remove classes',
  'up services.0.routes.x',
  'remove constructor.0',
];

for (const action of faults) {
  test(`rejected: ${action}`, t => {
    t.throws(() => applyEdit(DRAFT, parseEdit(action)), {
      message: /^The form is malformed: /,
    });
  });
}
