/**
 * Converts schema issues into problems that operators can act on.
 */
import type * as SchemaAST from 'effect/SchemaAST';
import type * as SchemaIssue from 'effect/SchemaIssue';
import type {Problem} from './problem.js';
import {formatPath} from './problem.js';

type PathSegments = readonly PropertyKey[];

/**
 * Returns the problems of an issue tree in tree order, one for each path.
 * `input` is the document before decoding.
 */
export function collectProblems(
  ast: SchemaAST.AST,
  issue: SchemaIssue.Issue,
  input: unknown,
): readonly Problem[] {
  const problems = new Map<string, Problem>();
  visitIssue(issue, [], (segments, isUnexpected) => {
    const path = formatPath(segments);
    // Several checks of one field may fail together and have the same
    // description.
    if (problems.has(path)) return;
    const allowed = isUnexpected
      ? describeFieldNames(astAt(ast, segments.slice(0, -1)))
      : describeAllowed(astAt(ast, segments));
    problems.set(path, {path, value: valueAt(input, segments), allowed});
  });
  return [...problems.values()];
}

function visitIssue(
  issue: SchemaIssue.Issue,
  segments: PathSegments,
  onLeaf: (segments: PathSegments, isUnexpected: boolean) => void,
): void {
  switch (issue._tag) {
    case 'Pointer':
      visitIssue(issue.issue, [...segments, ...issue.path], onLeaf);
      return;
    case 'Composite':
      for (const part of issue.issues) visitIssue(part, segments, onLeaf);
      return;
    case 'Filter':
    case 'Encoding':
      visitIssue(issue.issue, segments, onLeaf);
      return;
    default:
      onLeaf(segments, issue._tag === 'UnexpectedKey');
  }
}

function astAt(
  ast: SchemaAST.AST | undefined,
  segments: PathSegments,
): SchemaAST.AST | undefined {
  const [segment, ...rest] = segments;
  if (segment === undefined) return ast;
  if (ast?._tag === 'Arrays') return astAt(ast.rest[0], rest);
  if (ast?._tag !== 'Objects') return undefined;
  const field = ast.propertySignatures.find(({name}) => name === segment);
  return astAt(field?.type, rest);
}

function describeAllowed(ast: SchemaAST.AST | undefined): string {
  const description = ast?.annotations?.['description'];
  if (typeof description === 'string') return description;
  return ast?._tag === 'Objects' ? 'an object' : 'a value the schema describes';
}

function describeFieldNames(ast: SchemaAST.AST | undefined): string {
  if (ast?._tag !== 'Objects') return 'no such field';
  const names = ast.propertySignatures.map(({name}) => String(name));
  return `only the fields ${names.join(', ')}`;
}

function valueAt(input: unknown, segments: PathSegments): unknown {
  let value = input;
  for (const segment of segments) {
    if (typeof value !== 'object' || value === null) return undefined;
    if (!Object.hasOwn(value, segment)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[segment];
  }
  return value;
}
