/**
 * A document being edited. Each value is the text that the operator typed, valid
 * or not, so that no input is lost between two pages.
 */
import type {FieldModel, FormModel, GroupModel} from './form_model.js';

/** Any part of a draft. */
export type DraftNode = string | DraftList | DraftGroup;

/** Items of a list, in order. */
export type DraftList = readonly DraftGroup[];

/** Members by name. */
export interface DraftGroup {
  readonly [name: string]: DraftNode;
}

/** JSON syntax of a number; other text is kept and rejected by the checks. */
const JSON_NUMBER_PATTERN = /^-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?$/;

/** Converts a document, or a part of one, to text for the forms. */
export function toDraft(model: GroupModel, value: object): DraftGroup {
  const fields = value as Readonly<Record<string, unknown>>;
  return Object.fromEntries(
    model.members.map(member => [
      member.name,
      toDraftNode(member, fields[member.name]),
    ]),
  );
}

function toDraftNode(model: FormModel, value: unknown): DraftNode {
  switch (model.kind) {
    case 'field':
      return value === undefined ? '' : String(value);
    case 'group':
      return toDraft(model, value as object);
    case 'list':
      return (value as readonly object[]).map(item =>
        toDraft(model.item, item),
      );
  }
}

/**
 * Converts a draft to a document, which may be invalid: empty fields are omitted,
 * and text that is not a valid value of its field stays text.
 */
export function toDocument(model: GroupModel, draft: DraftGroup): object {
  return Object.fromEntries(
    model.members.map(member => [
      member.name,
      toDocumentNode(member, draft[member.name]),
    ]),
  );
}

function toDocumentNode(
  model: FormModel,
  node: DraftNode | undefined,
): unknown {
  if (node === undefined) return undefined;
  switch (model.kind) {
    case 'field':
      return typeof node === 'string' ? toValue(model, node) : undefined;
    case 'group':
      return toDocument(model, node as DraftGroup);
    case 'list':
      return (node as DraftList).map(item => toDocument(model.item, item));
  }
}

function toValue({input}: FieldModel, text: string): unknown {
  const trimmed = text.trim();
  if (trimmed === '') return undefined;
  switch (input.kind) {
    case 'number':
      return toNumber(trimmed);
    case 'switch':
      return toBoolean(trimmed);
    case 'fixed':
      return trimmed === String(input.value) ? input.value : trimmed;
    default:
      return trimmed;
  }
}

function toNumber(text: string): number | string {
  const value = JSON_NUMBER_PATTERN.test(text) ? Number(text) : NaN;
  // JSON has no infinity; it would be encoded as null.
  return Number.isFinite(value) ? value : text;
}

function toBoolean(text: string): boolean | string {
  if (text === 'true') return true;
  return text === 'false' ? false : text;
}
