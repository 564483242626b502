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
export const COUNT_NAME = 'count';

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
  const pending = new Map<string, string>();
  for (const [name, text] of fields) {
    if (pending.has(name)) throw malformed(`field ${name} is there twice`);
    pending.set(name, text);
  }
  const action = pending.get(ACTION_FIELD) ?? '';
  pending.delete(ACTION_FIELD);
  const draft = takeGroup(model, '', pending);
  const [unknownName] = pending.keys();
  if (unknownName === undefined) return {draft, action};
  throw malformed(`field ${unknownName} is unknown`);
}

/** The error for a form that no page of the console sends. */
export function malformed(reason: string) {
  const message = `The form is malformed: ${reason}.`;
  return new InvalidInputError(message, {props: {step: 'read-form'}});
}

type PendingFields = Map<string, string>;

function takeGroup(
  model: GroupModel,
  name: string,
  pending: PendingFields,
): DraftGroup {
  return Object.fromEntries(
    model.members.map(member => [
      member.name,
      takeNode(member, joinName(name, member.name), pending),
    ]),
  );
}

function takeNode(
  model: FormModel,
  name: string,
  pending: PendingFields,
): DraftNode {
  switch (model.kind) {
    case 'field':
      return takeText(name, pending);
    case 'group':
      return takeGroup(model, name, pending);
    case 'list':
      return takeList(model, name, pending);
  }
}

function takeList(
  model: ListModel,
  name: string,
  pending: PendingFields,
): readonly DraftGroup[] {
  const countName = joinName(name, COUNT_NAME);
  const countText = takeText(countName, pending);
  if (!/^\d{1,6}$/.test(countText)) throw malformed(`${countName} is no count`);
  const items: DraftGroup[] = [];
  // Stops at the first item that is missing, however large the count is.
  for (let index = 0; index < Number(countText); index += 1) {
    items.push(takeGroup(model.item, joinName(name, index), pending));
  }
  return items;
}

function takeText(name: string, pending: PendingFields): string {
  const text = pending.get(name);
  if (text === undefined) throw malformed(`field ${name} is missing`);
  pending.delete(name);
  return text;
}
