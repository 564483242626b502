/**
 * `policy new`: the template is valid and contains the given names.
 */
import test from 'ava';
import {printStartingPolicy} from '../../../src/cli/policy_new_command.js';
import {findPolicyWarnings} from '../../../src/version/policy_warnings.js';
import {compileOrThrow} from '../../fakes/policy_documents.js';
import {createRecordedOutput} from '../../fakes/recorded_output.js';

test('the printed document compiles without warnings', t => {
  const output = createRecordedOutput();
  const args = {deployment: 'coast', zone: ['east', 'west:far']};
  t.is(printStartingPolicy(args, output), 0);
  const documentBytes = new TextEncoder().encode(output.lines.join('\n'));
  const {policy} = compileOrThrow(documentBytes);
  t.is(policy.deployment, 'coast');
  t.deepEqual(policy.availabilityZones, [
    {name: 'east', region: 'coast'},
    {name: 'west', region: 'far'},
  ]);
  t.deepEqual(findPolicyWarnings(policy), []);
});

test('invalid names print no document', t => {
  const output = createRecordedOutput();
  t.is(printStartingPolicy({deployment: 'coast', zone: ['a', 'a']}, output), 2);
  t.deepEqual(output.lines, []);
  t.regex(output.errorLines[0] ?? '', /\$\.availabilityZones\[1\]\.name/);
});
