/**
 * The example policy documents of the project, reduced to a size that one
 * machine can run.
 */
import {readFile} from 'node:fs/promises';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Policy} from '../version/policy.js';

/** Example documents in `examples/`. */
export type ExampleName = 'ilorin' | 'tunis';

const EXAMPLES_DIRECTORY = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../../examples',
);

/** Reads an example policy; rejects if the file is missing or not JSON. */
export async function readExamplePolicy(name: ExampleName): Promise<Policy> {
  const text = await readFile(join(EXAMPLES_DIRECTORY, `${name}.json`), 'utf8');
  return JSON.parse(text) as Policy;
}

/** Returns the policy with its first `zonesCount` availability zones only. */
export function keepZones(policy: Policy, zonesCount: number): Policy {
  return {
    ...policy,
    availabilityZones: policy.availabilityZones.slice(0, zonesCount),
  };
}
