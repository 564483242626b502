/**
 * Problems of published documents, described so that operators can fix them
 * without reading code.
 */

/** A problem: its location, the value found and the accepted values. */
export interface Problem {
  /** Path from the document's root, for example `$.services[0].name`. */
  readonly path: string;
  /** The value found; undefined if the field is missing. */
  readonly value: unknown;
  /** Description of the accepted values, as a phrase. */
  readonly allowed: string;
}

/** Longest excerpt of a value shown in a message. */
const SHOWN_VALUE_CHARS = 80;

/** Path of the document root. */
export const ROOT_PATH = '$';

/** Formats a problem as one line for a terminal or a log. */
export function formatProblem(problem: Problem): string {
  return `${problem.path}: found ${formatValue(problem.value)}, allowed: ${problem.allowed}`;
}

/** Formats a path of property names and array indexes. */
export function formatPath(segments: readonly PropertyKey[]): string {
  return ROOT_PATH + segments.map(formatSegment).join('');
}

function formatSegment(segment: PropertyKey): string {
  if (typeof segment === 'number') return `[${String(segment)}]`;
  const name = String(segment);
  return /^[A-Za-z_]\w*$/.test(name) ? `.${name}` : `[${JSON.stringify(name)}]`;
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  if (text.length <= SHOWN_VALUE_CHARS) return text;
  return `${text.slice(0, SHOWN_VALUE_CHARS)}... (${String(text.length)} characters)`;
}
