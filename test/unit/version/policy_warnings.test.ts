/**
 * Warnings about valid settings that are probably not intended.
 */
import test from 'ava';
import type {Policy} from '../../../src/version/policy.js';
import {findPolicyWarnings} from '../../../src/version/policy_warnings.js';
import type {Mutable} from '../../fakes/policy_documents.js';
import {createPolicyWith} from '../../fakes/policy_documents.js';

type Change = (draft: Mutable<Policy>) => void;

const warnings: readonly (readonly [string, Change, readonly string[]])[] = [
  ['none for valid settings', () => undefined, []],
  [
    'no time is left for a retry after a silent attempt',
    draft => {
      draft.services[0]!.progressTimeoutMillis = 2_000;
    },
    ['$.services[0].routes[1].deadlineMillis'],
  ],
  [
    'the reserves leave the last class no slot',
    draft => {
      draft.services[0]!.slotsCount = 1;
    },
    ['$.services[0].slotsCount'],
  ],
  [
    'a pattern that allows retries covers a route that does not',
    draft => {
      const {routes} = draft.services[0]!;
      routes.push({...routes[1]!, name: 'any', method: 'POST', path: '/*'});
    },
    ['$.services[0].routes[2].repeat'],
  ],
];

for (const [name, change, paths] of warnings) {
  test(`warning: ${name}`, t => {
    const found = findPolicyWarnings(createPolicyWith(change));
    t.deepEqual(
      found.map(({path}) => path),
      paths,
    );
  });
}
