import * as fs from 'node:fs';

import test from 'ava';

import {
  DEFAULT_CONTROL,
  DEFAULT_LIMITS,
  DEFAULT_LOG,
  DEFAULT_METRICS_PREFIX,
} from '../../../src/process/settings_defaults.js';
import {
  parseSettings,
  settingsSchema,
} from '../../../src/process/settings_schema.js';

const PAGE = fs.readFileSync(
  new URL('../../../../docs/operate/install.md', import.meta.url),
  'utf8',
);
const ROW = /^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$/gm;
const REQUIRED = 'required';

interface FieldRow {
  readonly unit: string;
  readonly defaultText: string;
  readonly effect: string;
}

function readRows(): ReadonlyMap<string, FieldRow> {
  return new Map(
    [...PAGE.matchAll(ROW)].map(
      ([, field = '', unit = '', defaultText = '', effect = '']) => [
        field,
        {unit, defaultText, effect},
      ],
    ),
  );
}

interface SchemaNode {
  readonly _tag: string;
  readonly propertySignatures?: readonly {
    readonly name: PropertyKey;
    readonly type: SchemaNode;
  }[];
  readonly rest?: readonly SchemaNode[];
}

/** Paths of all fields that hold a value, a list among them. */
function fieldPaths(node: SchemaNode, path: string): readonly string[] {
  if (node._tag === 'Arrays') {
    const items = (node.rest ?? []).flatMap(item =>
      fieldPaths(item, `${path}[]`),
    );
    return [path, ...items];
  }
  if (node.propertySignatures === undefined) return [path];
  return node.propertySignatures.flatMap(({name, type}) =>
    fieldPaths(type, path === '' ? String(name) : `${path}.${String(name)}`),
  );
}

test('the reference names every settings field and no other', t => {
  const paths = fieldPaths(settingsSchema.ast as SchemaNode, '');
  t.true(paths.includes('limits.headerBytes'));
  t.true(paths.includes('seedPeers[].controlPort'));
  t.deepEqual([...readRows().keys()].sort(), [...paths].sort());
});

test('each field has the default that is in force', t => {
  const defaults = new Map<string, string>([
    ['seedPeers', '`[]`'],
    ['log.level', `\`${DEFAULT_LOG.level}\``],
    ['metrics.prefix', `\`${DEFAULT_METRICS_PREFIX}\``],
  ]);
  for (const [name, value] of Object.entries(DEFAULT_LIMITS)) {
    defaults.set(`limits.${name}`, `\`${String(value)}\``);
  }
  for (const [name, value] of Object.entries(DEFAULT_CONTROL)) {
    defaults.set(`control.${name}`, `\`${String(value)}\``);
  }
  for (const [field, row] of readRows()) {
    t.is(row.defaultText, defaults.get(field) ?? REQUIRED, field);
  }
});

test('durations and sizes are given with their unit', t => {
  for (const [field, {unit}] of readRows()) {
    if (field.endsWith('Millis')) t.is(unit, 'ms', field);
    if (field.endsWith('Bytes')) t.is(unit, 'bytes', field);
  }
});

test('the example is a valid settings file', t => {
  const example = /```json\n([^`]+)```/.exec(PAGE)?.[1];
  t.is(parseSettings(Buffer.from(example ?? '')).kind, 'parsed');
});
