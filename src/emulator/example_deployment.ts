/**
 * The example policy documents that ship with the project, reduced to a size
 * that one machine runs.
 */
import {readFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Policy} from '../version/policy.js';

/** Documents under `examples/`. */
export type ExampleName = 'ilorin' | 'tunis';

const EXAMPLES_DIRECTORY = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../../examples',
);

/** Reads an example policy. */
export async function readExamplePolicy(name: ExampleName): Promise<Policy> {
  const text = await readFile(join(EXAMPLES_DIRECTORY, `${name}.json`), 'utf8');
  return JSON.parse(text) as Policy;
}

/** Keeps the first availability zones only. */
export function keepZones(policy: Policy, zonesCount: number): Policy {
  return {
    ...policy,
    availabilityZones: policy.availabilityZones.slice(0, zonesCount),
  };
}
