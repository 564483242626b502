/**
 * Start and stop of the console command.
 */
import test from 'ava';
import {EXIT} from '../../../../src/cli/command_output.js';
import {runConsole} from '../../../../src/cli/console/console_command.js';
import {createPolicyBytes} from '../../../fakes/policy_documents.js';
import {createRecordedOutput} from '../../../fakes/recorded_output.js';
import {createFileWriter} from '../../../fakes/temporary_files.js';

const ANY_PORT = {port: 0, out: undefined};

test('it prints its URL, serves until cancelled and then stops listening', async t => {
  const output = createRecordedOutput();
  const controller = new AbortController();
  const file = createFileWriter(t)('policy.json', createPolicyBytes(5));
  const exit = runConsole({...ANY_PORT, file}, output, controller.signal);
  while (output.lines.length === 0) await new Promise(setImmediate);
  const url = /^Open (http:\/\/127\.0\.0\.1:\d+\/\S+\/)$/.exec(
    output.lines[0] ?? '',
  )?.[1];
  const page = await fetch(url ?? '');
  t.regex(await page.text(), /name="version"[^>]*value="6"/);
  controller.abort();
  t.is(await exit, EXIT.ok);
  await t.throwsAsync(fetch(url ?? ''));
});

test('it does not start with an unreadable or invalid document', async t => {
  const file = createFileWriter(t)('policy.json', createPolicyBytes(0));
  const output = createRecordedOutput();
  const {signal} = new AbortController();
  const run = (name: string) =>
    runConsole({...ANY_PORT, file: name}, output, signal);
  t.is(await run(file), EXIT.invalid);
  t.is(await run(`${file}.missing`), EXIT.usage);
  t.deepEqual(output.lines, []);
  t.is(output.errorLines.length, 2);
});
