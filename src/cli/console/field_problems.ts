/**
 * Assignment of problems to the form fields they are about.
 */
import type {Problem} from '../../version/problem.js';
import {ROOT_PATH} from '../../version/problem.js';

/** A problem and where the form shows it. */
export interface FieldProblem {
  /** Name of a field, an item or a list; empty for the whole document. */
  readonly name: string;
  readonly message: string;
}

/** Messages by the name of what they are shown at. */
export type FieldProblems = ReadonlyMap<string, string>;

/** Longest excerpt of a value in a message. */
const SHOWN_VALUE_CHARS = 60;

/** Problems listed on one page; a large paste can have thousands. */
export const SHOWN_PROBLEMS_COUNT = 100;

/** Translates problems of the document into problems of the form. */
export function toFieldProblems(
  problems: readonly Problem[],
): readonly FieldProblem[] {
  return problems.map(problem => ({
    name: toFormName(problem.path),
    message: describeProblem(problem),
  }));
}

/** Joins the messages of each place. */
export function groupProblems(
  problems: readonly FieldProblem[],
): FieldProblems {
  const messages = new Map<string, string>();
  for (const {name, message} of problems) {
    const earlier = messages.get(name);
    messages.set(name, earlier ? `${earlier} ${message}` : message);
  }
  return messages;
}

/** `$.services[0].name` as `services.0.name`. */
export function toFormName(path: string): string {
  return path
    .slice(ROOT_PATH.length)
    .replace(/\[(\d+)\]/g, '.$1')
    .replace(/^\./, '');
}

function describeProblem({value, allowed}: Problem): string {
  if (value === undefined) return `Nothing entered. Allowed: ${allowed}.`;
  const text = JSON.stringify(value);
  const shown =
    text.length <= SHOWN_VALUE_CHARS
      ? text
      : `${text.slice(0, SHOWN_VALUE_CHARS)}...`;
  return `Found ${shown}. Allowed: ${allowed}.`;
}
