/**
 * Parses submitted form fields into a draft. Names are dotted paths, for example
 * `services.0.name`; `services.count` is the number of items.
 */
import type {DraftGroup, DraftNode} from './draft.js';
import type {FormModel, GroupModel, ListModel} from './form_model.js';
import {InvalidInputError} from '../../base/errors.js';

/** Field with the requested action; not part of the draft. */
export const ACTION_FIELD = 'action';

/** Suffix of the field with the number of items in a list. */
export const COUNT_SUFFIX = 'count';

/** Joins the form name of a parent and a member name or item index. */
export function joinName(parent: string, name: string | number): string {
  return parent === '' ? String(name) : `${parent}.${String(name)}`;
}

/** Content of a submitted form. */
export interface FormSubmission {
  readonly draft: DraftGroup;
  /** Empty if the form was submitted without an edit button. */
  readonly action: string;
}

/**
 * Parses a complete form; throws `InvalidInputError` for missing, duplicate or
 * unknown fields. A truncated form would yield a document without some rules, and
 * unknown fields come from another version of the program.
 */
export function readSubmission(
  model: GroupModel,
  fields: URLSearchParams,
): FormSubmission {
  const remaining = new Map<string, string>();
  for (const [name, text] of fields) {
    if (remaining.has(name)) throw formError(`field ${name} is duplicated`);
    remaining.set(name, text);
  }
  const action = remaining.get(ACTION_FIELD) ?? '';
  remaining.delete(ACTION_FIELD);
  const draft = takeGroup(model, '', remaining);
  const [unknownName] = remaining.keys();
  if (unknownName === undefined) return {draft, action};
  throw formError(`field ${unknownName} is unknown`);
}

/** Creates the error for a form that no page of the console sends. */
export function formError(reason: string) {
  const message = `The form is malformed: ${reason}.`;
  return new InvalidInputError(message, {props: {step: 'read-form'}});
}

type RemainingFields = Map<string, string>;

function takeGroup(
  model: GroupModel,
  name: string,
  remaining: RemainingFields,
): DraftGroup {
  return Object.fromEntries(
    model.members.map(member => [
      member.name,
      takeNode(member, joinName(name, member.name), remaining),
    ]),
  );
}

function takeNode(
  model: FormModel,
  name: string,
  remaining: RemainingFields,
): DraftNode {
  switch (model.kind) {
    case 'field':
      return takeText(name, remaining);
    case 'group':
      return takeGroup(model, name, remaining);
    case 'list':
      return takeList(model, name, remaining);
  }
}

function takeList(
  model: ListModel,
  name: string,
  remaining: RemainingFields,
): readonly DraftGroup[] {
  const countName = joinName(name, COUNT_SUFFIX);
  const countText = takeText(countName, remaining);
  if (!/^\d{1,6}$/.test(countText)) throw formError(`${countName} is invalid`);
  const items: DraftGroup[] = [];
  // A missing item throws, so an excessive count does not cause a long loop.
  for (let index = 0; index < Number(countText); index += 1) {
    items.push(takeGroup(model.item, joinName(name, index), remaining));
  }
  return items;
}

function takeText(name: string, remaining: RemainingFields): string {
  const text = remaining.get(name);
  if (text === undefined) throw formError(`field ${name} is missing`);
  remaining.delete(name);
  return text;
}
