/**
 * Maps problems of a document to the form fields that they are about.
 */
import type {Problem} from '../../version/problem.js';
import {ROOT_PATH} from '../../version/problem.js';

/** A problem and the form field at which it is shown. */
export interface FieldProblem {
  /** Form name of a field, item or list; empty for the whole document. */
  readonly name: string;
  /** The current value, as a sentence. */
  readonly found: string;
  /** The accepted values, as a phrase. */
  readonly allowed: string;
}

/** Messages by the form name at which they are shown. */
export type FieldMessages = ReadonlyMap<string, string>;

/** Longest excerpt of a value in a message. */
const MAX_SHOWN_VALUE_CHARS = 60;

const EMPTY_FIELD_MESSAGE = 'Nothing entered.';

/** Converts problems of the document to problems of form fields. */
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
 * Joins the messages of each field. The message for an empty field omits the
 * allowed values, which are in the guide and would clutter rows of empty fields.
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

/** Converts `$.services[0].name` to `services.0.name`. */
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
