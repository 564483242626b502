/**
 * Exit codes and output streams of the built program, run as a child process.
 */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {createPolicyBytes} from '../../fakes/policy_documents.js';
import {createFileWriter} from '../../fakes/temporary_files.js';

const PROGRAM_PATH = fileURLToPath(
  new URL('../../../src/cli/main.js', import.meta.url),
);

interface ProgramRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

function run(...args: readonly string[]): Promise<ProgramRun> {
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      [PROGRAM_PATH, ...args],
      (_error, stdout, stderr) => {
        resolve({code: child.exitCode ?? -1, stdout, stderr});
      },
    );
  });
}

test('the output of `policy new` passes `policy check`', async t => {
  const writeFile = createFileWriter(t);
  const created = await run('policy', 'new', '--deployment', 'coast');
  t.is(created.code, 0);
  const file = writeFile('policy.json', created.stdout);
  const checked = await run('policy', 'check', file);
  t.is(checked.code, 0, checked.stdout + checked.stderr);
  t.is(checked.stderr, '');
});

test('exit code 1 for an invalid document, with the path', async t => {
  const file = createFileWriter(t)('policy.json', createPolicyBytes(0));
  const {code, stdout} = await run('policy', 'check', file);
  t.is(code, 1);
  t.regex(stdout, /\$\.version: found 0, allowed: a whole number, from 1/);
});

const usageErrors: readonly (readonly string[])[] = [
  [],
  ['policy'],
  ['policy', 'check'],
  ['policy', 'check', 'does-not-exist.json'],
  ['policy', 'check', 'a', 'b', '--previous', 'c'],
  ['policy', 'new', '--deployment', 'Not A Name'],
  ['policy', 'new', '--deployment', 'coast', '--unknown-option'],
  ['policy', 'explain', 'a.json', '--service', 's'],
  ['no-such-command'],
];

for (const args of usageErrors) {
  test(`exit code 2 for: ${args.join(' ') || 'no arguments'}`, async t => {
    const {code, stdout, stderr} = await run(...args);
    t.is(code, 2);
    t.is(stdout, '');
    t.not(stderr, '');
  });
}
