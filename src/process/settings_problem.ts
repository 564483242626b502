/**
 * Problems of a settings file as told to the operator.
 */
import * as SchemaIssue from 'effect/SchemaIssue';

/** One thing wrong with a settings file. */
export interface SettingsProblem {
  /** Path of the field, for example `listen.local.address`. */
  readonly field: string;
  /** The value found as shortened JSON; `absent` when there is none. */
  readonly value: string;
  /** What may stand there. */
  readonly allowed: string;
}

const VALUE_TEXT_MAXIMUM_LENGTH = 80;
const UNKNOWN_FIELD_MESSAGE = 'Expected no excess property';
const MESSAGE_PREFIX = /^Expected /;
const CONTROL_CHARACTERS = /\p{Cc}+/gu;

const toStandardIssues = SchemaIssue.makeFormatterStandardSchemaV1();

/** One line naming the field, the value and what is allowed. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const text = `${problem.field}: ${problem.value}; allowed: ${problem.allowed}`;
  // Field names and parser messages quote the file and may hold line ends,
  // which would make one problem look like several.
  return text.replace(CONTROL_CHARACTERS, ' ');
}

/** Problems of a document that does not meet its schema. */
export function describeIssues(
  issue: SchemaIssue.Issue,
  document: unknown,
): readonly SettingsProblem[] {
  const {issues} = toStandardIssues(issue);
  return issues.map(({path = [], message}) => {
    const keys = path.map(part => (typeof part === 'object' ? part.key : part));
    return {
      field: formatPath(keys),
      value: formatValue(valueAt(document, keys)),
      allowed: describeAllowed(message),
    };
  });
}

function describeAllowed(message: string): string {
  if (message === UNKNOWN_FIELD_MESSAGE) return 'no field of this name';
  return message.replace(MESSAGE_PREFIX, '');
}

function formatPath(keys: readonly PropertyKey[]): string {
  if (keys.length === 0) return 'settings';
  return keys
    .map((key, index) => {
      if (typeof key === 'number') return `[${key}]`;
      return index === 0 ? String(key) : `.${String(key)}`;
    })
    .join('');
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'absent';
  const text = JSON.stringify(value);
  if (text.length <= VALUE_TEXT_MAXIMUM_LENGTH) return text;
  return `${text.slice(0, VALUE_TEXT_MAXIMUM_LENGTH)}...`;
}

function valueAt(document: unknown, keys: readonly PropertyKey[]): unknown {
  let value = document;
  for (const key of keys) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return value;
}
