/**
 * Reading of submitted form fields into a draft. Names are paths with dots, for
 * example `services.0.name`; `services.count` tells how many items there are.
 */
import type {DraftGroup, DraftNode} from './draft.js';
import type {FormModel, GroupModel, ListModel} from './form_model.js';
import {InvalidInputError} from '../../base/errors.js';

/** Field that holds what the operator asked for, besides those of the draft. */
export const ACTION_FIELD = 'action';

/** Suffix of the field that tells the length of a list. */
export const COUNT_SUFFIX = 'count';

/** Name of a member or item. */
export function joinName(parent: string, name: string | number): string {
  return parent === '' ? String(name) : `${parent}.${String(name)}`;
}

/** What a form sent. */
export interface FormSubmission {
  readonly draft: DraftGroup;
  /** Empty if the form was sent without a button. */
  readonly action: string;
}

/**
 * Reads a form as a whole. A form that lacks fields, as one that was cut off,
 * would make a document without some rules, and one with other fields was
 * written for another version of the program; both are refused.
 */
export function readSubmission(
  model: GroupModel,
  fields: URLSearchParams,
): FormSubmission {
  const remaining = new Map<string, string>();
  for (const [name, text] of fields) {
    if (remaining.has(name)) throw formError(`field ${name} is there twice`);
    remaining.set(name, text);
  }
  const action = remaining.get(ACTION_FIELD) ?? '';
  remaining.delete(ACTION_FIELD);
  const draft = takeGroup(model, '', remaining);
  const [unknownName] = remaining.keys();
  if (unknownName === undefined) return {draft, action};
  throw formError(`field ${unknownName} is unknown`);
}

/** The error for a form that no page of the console sends. */
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
  if (!/^\d{1,6}$/.test(countText)) throw formError(`${countName} is no count`);
  const items: DraftGroup[] = [];
  // Stops at the first item that is missing, however large the count is.
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
