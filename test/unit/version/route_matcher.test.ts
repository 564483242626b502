/**
 * Route lookup: precedence of patterns, and paths that an upstream may
 * interpret differently.
 */
import test from 'ava';
import fc from 'fast-check';
import type {PatternSegment} from '../../../src/version/path_pattern.js';
import {
  comparePatterns,
  parsePathPattern,
} from '../../../src/version/path_pattern.js';
import {createRouteMatcher} from '../../../src/version/route_matcher.js';

function createMatcher(patterns: readonly string[]) {
  const findPattern = createRouteMatcher(
    patterns.map(path => ({method: 'GET', path, value: {path}})),
  );
  return (path: string) => findPattern('GET', path)?.path;
}

const PATTERNS = ['/', '/a', '/a/b', '/a/:x', '/a/:x/c', '/a/*', '/f/*'];

const lookups: readonly (readonly [string, string | undefined])[] = [
  ['/', '/'],
  ['/a', '/a'],
  ['/a/b', '/a/b'],
  ['/a/%62', '/a/b'],
  ['/a/z', '/a/:x'],
  ['/a/b/c', '/a/:x/c'],
  ['/a/b/d', '/a/*'],
  ['/f', undefined],
  ['/f/1/2/3', '/f/*'],
  ['/unknown', undefined],
];

for (const [path, expected] of lookups) {
  test(`${path} matches ${String(expected)}`, t => {
    t.is(createMatcher(PATTERNS)(path), expected);
  });
}

// Guards against an order that runs twice although its route must never be
// retried: `/f/../orders` was matched as written to the wildcard route, which
// allows retries; the upstream resolved the dots and placed an order, and the
// attempt timed out and was sent again.
for (const path of [
  '/f/../orders',
  '/f/%2e%2E/orders',
  '/f/./x',
  '/f//x',
  '/f/x/',
  '/f/a%2Forders',
  '/f/..\\orders',
  '/f/orders#x',
  '/f/%zz',
  'f/x',
  '',
]) {
  test(`no route is found for ${path || 'an empty path'}`, t => {
    t.is(createMatcher(PATTERNS)(path), undefined);
  });
}

const segment = fc.constantFrom('a', 'b');
const patternText = fc
  .tuple(
    fc.array(fc.oneof(segment, fc.constant(':p')), {maxLength: 3}),
    fc.boolean(),
  )
  .map(
    ([texts, isOpen]) => `/${[...texts, ...(isOpen ? ['*'] : [])].join('/')}`,
  );

/**
 * Reference implementation: every segment matches; a wildcard matches one or
 * more.
 */
function matches(pattern: readonly PatternSegment[], path: readonly string[]) {
  if (pattern.at(-1)?.kind === 'wildcard') {
    if (path.length < pattern.length) return false;
  } else if (path.length !== pattern.length) return false;
  return pattern.every(
    (part, index) => part.kind !== 'literal' || part.text === path[index],
  );
}

test('the match is the most specific of all fitting patterns', t => {
  fc.assert(
    fc.property(
      fc.array(patternText, {maxLength: 8}),
      fc.array(segment, {maxLength: 4}),
      (candidates, path) => {
        const patterns: string[] = [];
        for (const candidate of candidates) {
          const isAmbiguous = patterns.some(other =>
            ['same', 'ambiguous'].includes(
              comparePatterns(
                parsePathPattern(candidate),
                parsePathPattern(other),
              ),
            ),
          );
          if (!isAmbiguous) patterns.push(candidate);
        }
        const matching = patterns.filter(p =>
          matches(parsePathPattern(p), path),
        );
        const found = createMatcher(patterns)(`/${path.join('/')}`);
        const expected = matching.find(a =>
          matching.every(
            b =>
              a === b ||
              comparePatterns(parsePathPattern(a), parsePathPattern(b)) ===
                'narrower',
          ),
        );
        t.is(found, expected);
        t.is(found === undefined, matching.length === 0);
      },
    ),
    {numRuns: 500, seed: 1},
  );
});
