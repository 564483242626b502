/**
 * Lookup of routes by method and path, built once per configuration version.
 */
import type {PatternSegment} from './path_pattern.js';
import {parsePathPattern, splitRequestPath} from './path_pattern.js';

/** A value stored under a method and a path pattern. */
export interface RouteEntry<T> {
  readonly method: string;
  readonly path: string;
  readonly value: T;
}

/** Finds the value for a request; `path` is without the query string. */
export type RouteMatcher<T> = (method: string, path: string) => T | undefined;

/** A trie node; patterns with the same leading segments share nodes. */
interface TrieNode<T> {
  /**
   * Absent if empty: many nodes have no literal children, and a map takes
   * memory.
   */
  literals?: Map<string, TrieNode<T>>;
  parameter?: TrieNode<T>;
  /** Value of a pattern whose wildcard starts here. */
  wildcardValue?: T;
  /** Value of a pattern that ends here. */
  value?: T;
}

/** The patterns of one method. */
interface MethodTable<T> {
  /** Patterns of literals only, found without splitting the path. */
  readonly literalPaths: Map<string, T>;
  readonly root: TrieNode<T>;
}

/**
 * Creates a matcher that, segment by segment, prefers a literal to a parameter
 * and a parameter to a wildcard. The cost of a lookup depends on the segments
 * of the path, not on the number of routes.
 */
export function createRouteMatcher<T extends object>(
  entries: readonly RouteEntry<T>[],
): RouteMatcher<T> {
  const tables = new Map<string, MethodTable<T>>();
  for (const entry of entries) insertEntry(tables, entry);
  return (method, path) => {
    const table = tables.get(method);
    if (table === undefined) return undefined;
    const exact = table.literalPaths.get(path);
    if (exact !== undefined) return exact;
    const segments = splitRequestPath(path);
    return segments && findInTrie(table.root, segments, 0);
  };
}

function insertEntry<T>(
  tables: Map<string, MethodTable<T>>,
  {method, path, value}: RouteEntry<T>,
): void {
  let table = tables.get(method);
  if (table === undefined) {
    table = {literalPaths: new Map(), root: {}};
    tables.set(method, table);
  }
  const segments = parsePathPattern(path);
  if (segments.every(({kind}) => kind === 'literal')) {
    table.literalPaths.set(path, value);
  }
  insertSegments(table.root, segments, value);
}

function insertSegments<T>(
  root: TrieNode<T>,
  segments: readonly PatternSegment[],
  value: T,
): void {
  let node = root;
  for (const segment of segments) {
    if (segment.kind === 'wildcard') {
      node.wildcardValue = value;
      return;
    }
    node = getOrCreateChild(node, segment);
  }
  node.value = value;
}

function getOrCreateChild<T>(
  node: TrieNode<T>,
  segment: Exclude<PatternSegment, {kind: 'wildcard'}>,
): TrieNode<T> {
  if (segment.kind === 'parameter') return (node.parameter ??= {});
  const literals = (node.literals ??= new Map<string, TrieNode<T>>());
  const existing = literals.get(segment.text);
  if (existing !== undefined) return existing;
  const created: TrieNode<T> = {};
  literals.set(segment.text, created);
  return created;
}

function findInTrie<T>(
  node: TrieNode<T>,
  segments: readonly string[],
  index: number,
): T | undefined {
  const segment = segments[index];
  if (segment === undefined) return node.value;
  const literal = node.literals?.get(segment);
  return (
    (literal && findInTrie(literal, segments, index + 1)) ??
    (node.parameter && findInTrie(node.parameter, segments, index + 1)) ??
    node.wildcardValue
  );
}
