/**
 * The forms, the policy reference and the schema describe each field alike.
 */
import {readFileSync} from 'node:fs';
import test from 'ava';
import {FIELD_GUIDES} from '../../../../src/cli/console/field_guide.js';
import type {FormModel} from '../../../../src/cli/console/form_model.js';
import {policyFormModel} from '../../../../src/cli/console/form_model.js';

const REFERENCE_URL = new URL(
  '../../../../../docs/operate/policy.md',
  import.meta.url,
);

function listFields(
  model: FormModel,
): readonly (readonly [path: string, allowed: string])[] {
  switch (model.kind) {
    case 'field':
      return [[model.path, model.allowed]];
    case 'list':
      return [[model.path, model.allowed], ...listFields(model.item)];
    case 'group':
      return model.members.flatMap(listFields);
  }
}

/** Parses the rows `| field | unit | allowed | policy new | effect |`. */
function readRows(): ReadonlyMap<string, readonly string[]> {
  const rows = readFileSync(REFERENCE_URL, 'utf8')
    .split('\n')
    .map(line => line.split('|').map(cell => cell.trim()))
    .filter(cells => cells.length === 7 && cells[1]?.startsWith('`'));
  return new Map(rows.map(cells => [(cells[1] ?? '').slice(1, -1), cells]));
}

test('each field of the schema is described as in the policy reference', t => {
  const rows = readRows();
  const fields = listFields(policyFormModel);
  t.true(fields.length > 34);
  for (const [path, allowed] of fields) {
    const guide = FIELD_GUIDES[path];
    const row = rows.get(path);
    t.is(row?.[3], allowed, path);
    t.is(guide?.unit ?? '-', row?.[2] ?? '', path);
    t.is(guide?.effect, row?.[5], path);
  }
});

test('no guide exists for a field that is not in the schema', t => {
  const paths = listFields(policyFormModel).map(([path]) => path);
  t.deepEqual(Object.keys(FIELD_GUIDES).sort(), [...paths].sort());
});
