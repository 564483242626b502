/**
 * Adding, removing and moving of list items.
 */
import type {DraftGroup, DraftList, DraftNode} from './draft.js';
import {formError} from './form_fields.js';
import {createNewItem} from './draft_templates.js';

/** What a button of a list does. */
export type EditVerb = 'add' | 'remove' | 'up' | 'down';

/** An edit and the list or item it is for. */
export interface DraftEdit {
  readonly verb: EditVerb;
  /** Name of a list for `add`, of an item otherwise. */
  readonly target: string;
}

const EDIT_PATTERN = /^(?<verb>add|remove|up|down) (?<target>\S+)$/;

/** Value of the button that asks for an edit. */
export function formatEdit({verb, target}: DraftEdit): string {
  return `${verb} ${target}`;
}

/** Reads the value of a button. */
export function parseEdit(action: string): DraftEdit {
  const groups = EDIT_PATTERN.exec(action)?.groups;
  if (groups === undefined) throw formError('the action is unknown');
  return {verb: groups['verb'] as EditVerb, target: groups['target'] ?? ''};
}

/** Applies one edit to a copy. */
export function applyEdit(draft: DraftGroup, edit: DraftEdit): DraftGroup {
  const segments = edit.target.split('.');
  if (edit.verb === 'add') {
    return updateList(draft, segments, list => [
      ...list,
      createNewItem(edit.target),
    ]) as DraftGroup;
  }
  const index = Number(segments.at(-1));
  return updateList(draft, segments.slice(0, -1), list =>
    editItem(list, index, edit.verb),
  ) as DraftGroup;
}

function editItem(list: DraftList, index: number, verb: EditVerb): DraftList {
  const item = list[index];
  if (item === undefined) throw formError('the item to edit is not there');
  const rest = list.filter((_, position) => position !== index);
  if (verb === 'remove') return rest;
  const shift = verb === 'up' ? -1 : 1;
  // At either end the item stays.
  return rest.toSpliced(Math.max(0, index + shift), 0, item);
}

function updateList(
  node: DraftNode | undefined,
  segments: readonly string[],
  updateItems: (list: DraftList) => DraftList,
): DraftNode {
  const [segment, ...rest] = segments;
  if (segment === undefined) {
    if (isList(node)) return updateItems(node);
    throw formError('the list to edit is not there');
  }
  if (isList(node)) {
    const index = Number(segment);
    return node.with(
      checkIndex(node, index),
      updateList(node[index], rest, updateItems) as DraftGroup,
    );
  }
  if (typeof node !== 'object' || !Object.hasOwn(node, segment)) {
    throw formError('the list to edit is not there');
  }
  return {...node, [segment]: updateList(node[segment], rest, updateItems)};
}

function isList(node: DraftNode | undefined): node is DraftList {
  return Array.isArray(node);
}

function checkIndex(list: DraftList, index: number): number {
  if (index in list) return index;
  throw formError('the list to edit is not there');
}
