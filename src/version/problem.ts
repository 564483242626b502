/**
 * One fault of a document an operator published, told so that it can be mended
 * without reading code.
 */

/** A fault, the place it is at and what would be accepted there. */
export interface Problem {
  /** Path from the document's root, for example `$.services[0].name`. */
  readonly path: string;
  /** The value found; undefined when the field is missing. */
  readonly value: unknown;
  /** What is accepted at this place, as a phrase. */
  readonly allowed: string;
}

/** Longest excerpt of a value shown in a message. */
const SHOWN_VALUE_CHARS = 80;

/** Path of the document itself. */
export const ROOT_PATH = '$';

/** One line for a terminal or a log. */
export function formatProblem(problem: Problem): string {
  return `${problem.path}: found ${showValue(problem.value)}, allowed: ${problem.allowed}`;
}

/** Renders a path of member names and positions. */
export function formatPath(segments: readonly PropertyKey[]): string {
  return ROOT_PATH + segments.map(formatSegment).join('');
}

function formatSegment(segment: PropertyKey): string {
  if (typeof segment === 'number') return `[${String(segment)}]`;
  const name = String(segment);
  return /^[A-Za-z_]\w*$/.test(name) ? `.${name}` : `[${JSON.stringify(name)}]`;
}

function showValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  if (text.length <= SHOWN_VALUE_CHARS) return text;
  return `${text.slice(0, SHOWN_VALUE_CHARS)}... (${String(text.length)} characters)`;
}
