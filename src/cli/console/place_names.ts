/**
 * Places in a draft told by the names that the operator gave.
 */
import type {DraftNode} from './draft.js';
import {labelOf, singularOf} from './field_words.js';

/** `services.1.routes.4.path` as `Service tileyard, route 5, path`. */
export function describePlace(
  draft: DraftNode | undefined,
  formName: string,
): string {
  if (formName === '') return 'The document';
  const words: string[] = [];
  let node = draft;
  let listName = '';
  for (const segment of formName.split('.')) {
    node = childOf(node, segment);
    if (listName !== '') {
      words.push(`${singularOf(listName)} ${nameOf(node) || ordinal(segment)}`);
      listName = '';
    } else if (Array.isArray(node)) {
      listName = segment;
    } else {
      words.push(labelOf(segment).toLowerCase());
    }
  }
  if (listName !== '') words.push(labelOf(listName).toLowerCase());
  const text = words.join(', ');
  return text.charAt(0).toUpperCase() + text.slice(1);
}

/** Positions on the page count from 1. */
function ordinal(segment: string): string {
  return String(Number(segment) + 1);
}

function nameOf(node: DraftNode | undefined): string {
  const name = childOf(node, 'name');
  return typeof name === 'string' ? name : '';
}

function childOf(
  node: DraftNode | undefined,
  segment: string,
): DraftNode | undefined {
  if (typeof node !== 'object' || !Object.hasOwn(node, segment)) {
    return undefined;
  }
  return (node as Readonly<Record<string, DraftNode>>)[segment];
}
