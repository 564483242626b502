import {readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const FOLDERS = ['src', 'platform'];
const IMPORT_PATTERN = /from '(\.[^']+)\.js'/g;

/** Returns the files that each file imports, including type-only imports. */
function readImports(): ReadonlyMap<string, readonly string[]> {
  const files = FOLDERS.flatMap(folder =>
    readdirSync(join(ROOT, folder), {recursive: true, encoding: 'utf8'})
      .filter(name => name.endsWith('.ts'))
      .map(name => join(ROOT, folder, name)),
  );
  return new Map(
    files.map(file => {
      const text = readFileSync(file, 'utf8');
      const imports = [...text.matchAll(IMPORT_PATTERN)].map(
        ([, path = '']) => `${join(dirname(file), path)}.ts`,
      );
      return [file, imports];
    }),
  );
}

/** Returns the files of the first import cycle that is found. */
function findCycle(
  imports: ReadonlyMap<string, readonly string[]>,
): readonly string[] | undefined {
  const finished = new Set<string>();
  const visit = (
    file: string,
    path: readonly string[],
  ): readonly string[] | undefined => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (finished.has(file)) return undefined;
    for (const imported of imports.get(file) ?? []) {
      const cycle = visit(imported, [...path, file]);
      if (cycle !== undefined) return cycle;
    }
    finished.add(file);
    return undefined;
  };
  for (const file of imports.keys()) {
    const cycle = visit(file, []);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
}

test('modules have no import cycles, including type-only imports', t => {
  const imports = readImports();
  t.true(imports.size > 100);
  const cycle = findCycle(imports)?.map(file => relative(ROOT, file));
  t.is(cycle, undefined, cycle?.join(' -> '));
});

test('an import cycle is detected', t => {
  const imports = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  t.deepEqual(findCycle(imports), ['b', 'c', 'b']);
});
