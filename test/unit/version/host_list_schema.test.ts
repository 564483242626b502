/**
 * Validation of the published host list.
 */
import test from 'ava';
import type {PublishedHost} from '../../../src/version/host_list.js';
import {parseHostList} from '../../../src/version/host_list_schema.js';
import {encodeDocument} from '../../fakes/policy_documents.js';

const HOST: PublishedHost = {
  name: 'desk-1',
  service: 'desk',
  availabilityZone: 'za',
  region: 'north',
  address: '192.0.2.1',
  peerPort: 7_001,
  state: 'live',
};

function problemPaths(second: Partial<PublishedHost>): readonly string[] {
  const other = {...HOST, name: 'desk-2', address: '192.0.2.2', ...second};
  const parse = parseHostList(
    encodeDocument({revision: 1, hosts: [HOST, other]}),
  );
  return parse.kind === 'parsed' ? [] : parse.problems.map(({path}) => path);
}

test('a valid list is parsed completely', t => {
  const list = {revision: 4, hosts: [HOST]};
  t.deepEqual(parseHostList(encodeDocument(list)), {kind: 'parsed', list});
});

const faults: readonly (readonly [
  Partial<PublishedHost>,
  readonly string[],
])[] = [
  [{}, []],
  [{name: 'desk-1'}, ['$.hosts[1].name']],
  [{address: '192.0.2.1'}, ['$.hosts[1].peerPort']],
  [{address: '192.0.2.1', peerPort: 7_002}, []],
  [{region: 'south'}, ['$.hosts[1].region']],
  [{address: 'desk-2.example'}, ['$.hosts[1].address']],
  [
    {peerPort: 0, state: 'gone' as 'live'},
    ['$.hosts[1].peerPort', '$.hosts[1].state'],
  ],
];

for (const [second, expected] of faults) {
  test(`second host with ${JSON.stringify(second)}`, t => {
    t.deepEqual(problemPaths(second), expected);
  });
}
