import test from 'ava';
import {printKeyDigest} from '../../../src/cli/policy_digest_key_command.js';
import {apiKeyDigest} from '../../../src/version/organisation.js';
import {createRecordedOutput} from '../../fakes/recorded_output.js';

test('the digest of a key is printed, with or without a line break at the end', t => {
  const key = 'abcdefghij0123456789';
  for (const text of [key, `${key}\n`, `${key}\r\n`]) {
    const output = createRecordedOutput();
    t.is(printKeyDigest(text, output), 0);
    t.deepEqual(output.lines, [apiKeyDigest(key)]);
  }
});

test('a text that is not a key is rejected and not printed', t => {
  for (const text of ['', 'short', 'two words of a key', 'x'.repeat(1025)]) {
    const output = createRecordedOutput();
    t.is(printKeyDigest(text, output), 1);
    t.deepEqual(output.lines, []);
    t.false(text !== '' && output.errorLines.join('').includes(text));
  }
});
