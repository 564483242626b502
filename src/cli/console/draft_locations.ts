/**
 * Describes locations in a draft by the names that the operator entered.
 */
import type {DraftNode} from './draft.js';
import {labelOf, singularOf} from './field_labels.js';

/** Formats `services.1.routes.4.path` as `Service tileyard, route 5, path`. */
export function describeLocation(
  draft: DraftNode | undefined,
  formName: string,
): string {
  if (formName === '') return 'The document';
  const parts: string[] = [];
  let node = draft;
  let listName = '';
  for (const segment of formName.split('.')) {
    node = getChild(node, segment);
    if (listName !== '') {
      parts.push(`${singularOf(listName)} ${nameOf(node) || ordinal(segment)}`);
      listName = '';
    } else if (Array.isArray(node)) {
      listName = segment;
    } else {
      parts.push(labelOf(segment).toLowerCase());
    }
  }
  if (listName !== '') parts.push(labelOf(listName).toLowerCase());
  const text = parts.join(', ');
  return text.charAt(0).toUpperCase() + text.slice(1);
}

/** Converts an index to the 1-based position shown on the page. */
function ordinal(segment: string): string {
  return String(Number(segment) + 1);
}

function nameOf(node: DraftNode | undefined): string {
  const name = getChild(node, 'name');
  return typeof name === 'string' ? name : '';
}

function getChild(
  node: DraftNode | undefined,
  segment: string,
): DraftNode | undefined {
  if (typeof node !== 'object' || !Object.hasOwn(node, segment)) {
    return undefined;
  }
  return (node as Readonly<Record<string, DraftNode>>)[segment];
}
