/**
 * The operator documentation lists the allowed values of every schema field.
 */
import {readFileSync} from 'node:fs';
import test from 'ava';
import type * as SchemaAST from 'effect/SchemaAST';
import {policySchema} from '../../../src/version/policy_schema.js';

const PAGE_URL = new URL('../../../../docs/operate/policy.md', import.meta.url);

/**
 * Field paths with the description of allowed values; `[]` denotes any item.
 */
function listFields(
  ast: SchemaAST.AST,
  path: string,
): readonly (readonly [path: string, allowed: string])[] {
  if (ast._tag === 'Objects') {
    return ast.propertySignatures.flatMap(({name, type}) =>
      listFields(type, path === '' ? String(name) : `${path}.${String(name)}`),
    );
  }
  const allowed = String(ast.annotations?.['description']);
  const items = ast._tag === 'Arrays' ? ast.rest : [];
  return [
    [path, allowed] as const,
    ...items.flatMap(item => listFields(item, `${path}[]`)),
  ];
}

/** Rows `| field | unit | allowed | policy new | effect |` by field. */
function readRows(): ReadonlyMap<string, readonly string[]> {
  const rows = readFileSync(PAGE_URL, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('| `'))
    .map(line => line.split('|').map(cell => cell.trim()));
  return new Map(rows.map(cells => [cells[1] ?? '', cells]));
}

test('each field has a row with its range and its effect', t => {
  const rows = readRows();
  const fields = listFields(policySchema.ast, '');
  t.true(fields.length > 34);
  for (const [path, allowed] of fields) {
    const row = rows.get(`\`${path}\``);
    t.is(row?.[3], allowed, path);
    t.regex(row?.[5] ?? '', /\w+ .*\.$/, path);
  }
});
