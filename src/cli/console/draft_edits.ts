/**
 * Adds, removes and moves list items of a draft.
 */
import type {DraftGroup, DraftList, DraftNode} from './draft.js';
import {formError} from './form_fields.js';
import {createNewItem} from './draft_templates.js';

/** Actions of the buttons of a list. */
export type EditVerb = 'add' | 'remove' | 'up' | 'down';

/** An edit of a list or an item. */
export interface DraftEdit {
  readonly verb: EditVerb;
  /** Form name of a list for `add`, otherwise of an item. */
  readonly target: string;
}

const EDIT_PATTERN = /^(?<verb>add|remove|up|down) (?<target>\S+)$/;

/** Formats an edit as the value of its button. */
export function formatEdit({verb, target}: DraftEdit): string {
  return `${verb} ${target}`;
}

/**
 * Parses the value of a button; throws `InvalidInputError` for any other text.
 */
export function parseEdit(action: string): DraftEdit {
  const groups = EDIT_PATTERN.exec(action)?.groups;
  if (groups === undefined) throw formError('the action is unknown');
  return {verb: groups['verb'] as EditVerb, target: groups['target'] ?? ''};
}

/**
 * Returns a copy of the draft with the edit applied; throws `InvalidInputError`
 * if the draft has no such list or item.
 */
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
  if (item === undefined) throw formError('the item to edit does not exist');
  const rest = list.filter((_, position) => position !== index);
  if (verb === 'remove') return rest;
  const shift = verb === 'up' ? -1 : 1;
  // An item at either end stays where it is.
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
    throw formError('the list to edit does not exist');
  }
  if (isList(node)) {
    const index = Number(segment);
    return node.with(
      checkIndex(node, index),
      updateList(node[index], rest, updateItems) as DraftGroup,
    );
  }
  if (typeof node !== 'object' || !Object.hasOwn(node, segment)) {
    throw formError('the list to edit does not exist');
  }
  return {...node, [segment]: updateList(node[segment], rest, updateItems)};
}

function isList(node: DraftNode | undefined): node is DraftList {
  return Array.isArray(node);
}

function checkIndex(list: DraftList, index: number): number {
  if (index in list) return index;
  throw formError('the list to edit does not exist');
}
