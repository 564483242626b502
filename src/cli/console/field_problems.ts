/**
 * Assignment of problems to the form fields they are about.
 */
import type {Problem} from '../../version/problem.js';
import {ROOT_PATH} from '../../version/problem.js';

/** A problem and where the form shows it. */
export interface FieldProblem {
  /** Name of a field, an item or a list; empty for the whole document. */
  readonly name: string;
  /** What is there, as a sentence. */
  readonly found: string;
  /** What would be accepted, as a phrase. */
  readonly allowed: string;
}

/** Messages by the name of what they are shown at. */
export type FieldMessages = ReadonlyMap<string, string>;

/** Longest excerpt of a value in a message. */
const MAX_SHOWN_VALUE_CHARS = 60;

const EMPTY_FIELD_MESSAGE = 'Nothing entered.';

/** Translates problems of the document into problems of the form. */
export function toFieldProblems(
  problems: readonly Problem[],
): readonly FieldProblem[] {
  return problems.map(({path, value, allowed}) => ({
    name: toFormName(path),
    found: describeFoundValue(value),
    allowed,
  }));
}

/**
 * Joins the messages of each place. One about an empty field is kept short, as
 * what is allowed stands in the guide and would crowd a row of empty fields.
 */
export function groupMessages(
  problems: readonly FieldProblem[],
): FieldMessages {
  const messages = new Map<string, string>();
  for (const {name, found, allowed} of problems) {
    const message =
      found === EMPTY_FIELD_MESSAGE ? found : `${found} Allowed: ${allowed}.`;
    const earlier = messages.get(name);
    messages.set(name, earlier ? `${earlier} ${message}` : message);
  }
  return messages;
}

/** `$.services[0].name` as `services.0.name`. */
function toFormName(path: string): string {
  return path
    .slice(ROOT_PATH.length)
    .replace(/\[(\d+)\]/g, '.$1')
    .replace(/^\./, '');
}

function describeFoundValue(value: unknown): string {
  if (value === undefined) return EMPTY_FIELD_MESSAGE;
  const text = JSON.stringify(value);
  if (text.length <= MAX_SHOWN_VALUE_CHARS) return `Found ${text}.`;
  return `Found ${text.slice(0, MAX_SHOWN_VALUE_CHARS)}...`;
}
