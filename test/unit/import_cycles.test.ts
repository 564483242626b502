import {readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative} from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const FOLDERS = ['src', 'platform'];
const IMPORT_PATTERN = /from '(\.[^']+)\.js'/g;

/** Files that each file imports, for types or for values. */
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

/** The first circle that is found, as the files on it. */
function findCircle(
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
      const circle = visit(imported, [...path, file]);
      if (circle !== undefined) return circle;
    }
    finished.add(file);
    return undefined;
  };
  for (const file of imports.keys()) {
    const circle = visit(file, []);
    if (circle !== undefined) return circle;
  }
  return undefined;
}

test('no module imports itself through others, for types neither', t => {
  const imports = readImports();
  t.true(imports.size > 100);
  const circle = findCircle(imports)?.map(file => relative(ROOT, file));
  t.is(circle, undefined, circle?.join(' -> '));
});

test('a circle is found where there is one', t => {
  const imports = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  t.deepEqual(findCircle(imports), ['b', 'c', 'b']);
});
