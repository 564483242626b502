/**
 * Changes single fields of a policy document.
 */
import type {Policy} from '../../src/version/policy.js';

type Json = string | number | boolean | Json[] | {[name: string]: Json};

/**
 * Returns a copy of a policy with one field replaced. In `path`, members of
 * lists are selected by name; throws if the field does not exist.
 */
export function setPolicyField(
  policy: Policy,
  path: readonly string[],
  value: number | boolean | string,
): Policy {
  const copy = structuredClone(policy) as unknown as Json;
  const last = path.at(-1) ?? '';
  let parent = copy;
  for (const part of path.slice(0, -1)) parent = findChild(parent, part, path);
  if (
    typeof parent !== 'object' ||
    Array.isArray(parent) ||
    !(last in parent)
  ) {
    throw new Error(`the policy has no field ${path.join('.')}`);
  }
  parent[last] = value;
  return copy as unknown as Policy;
}

function findChild(parent: Json, part: string, path: readonly string[]): Json {
  const child = Array.isArray(parent)
    ? parent.find(member => (member as {name?: Json}).name === part)
    : (parent as {[name: string]: Json})[part];
  if (child === undefined) {
    throw new Error(`the policy has no ${part} for ${path.join('.')}`);
  }
  return child;
}
