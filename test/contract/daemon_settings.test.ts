/**
 * Contract of the daemon process: arguments, settings, signals and exit codes.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import {fileURLToPath} from 'node:url';

import type {ExecutionContext} from 'ava';
import test from 'ava';

import {readPackageVersion} from '../../src/base/package_version.js';
import {settingsBytes} from '../fakes/minimal_settings.js';

const MAIN = fileURLToPath(
  new URL('../../src/daemon/main.js', import.meta.url),
);

// Tests run serially: each starts processes, and many at once would starve the
// test suites that run in parallel.
async function writeSettings(
  t: ExecutionContext,
  content: Uint8Array,
): Promise<string> {
  const directory = await fs.mkdtemp(
    path.join(os.tmpdir(), 'daemon-settings-'),
  );
  t.teardown(() => fs.rm(directory, {recursive: true}));
  const file = path.join(directory, 'settings.json');
  await fs.writeFile(file, content);
  return file;
}

function startProcess(
  t: ExecutionContext,
  script: string,
  args: readonly string[],
) {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  const output = {stdout: '', stderr: ''};
  child.stdout.on('data', chunk => (output.stdout += String(chunk)));
  child.stderr.on('data', chunk => (output.stderr += String(chunk)));
  const closed = once(child, 'close') as Promise<[number | null]>;
  return {child, output, exitCode: closed.then(([code]) => code)};
}

function logLines(output: string): readonly Record<string, unknown>[] {
  return output
    .trimEnd()
    .split('\n')
    .map(line => JSON.parse(line) as Record<string, unknown>);
}

// With an invalid command line or settings file, the daemon must not start with
// a part of the settings, nor end with an unhelpful stack trace: everything is
// validated before work begins.
const INVALID_FILES: readonly {
  readonly title: string;
  readonly content: Uint8Array;
  readonly lines: readonly RegExp[];
}[] = [
  {
    title: 'one invalid field',
    content: settingsBytes({hostName: 7}),
    lines: [/^\$\.hostName: found 7, allowed: a host name of/],
  },
  {
    title: 'several invalid fields',
    content: settingsBytes({region: '', upstream: {address: 'x', port: 0}}),
    lines: [
      /^\$\.region: found "", allowed: a name of/,
      /^\$\.upstream\.address: found "x", allowed: an IP address/,
      /^\$\.upstream\.port: found 0, allowed: a whole number, from 1/,
    ],
  },
  {
    title: 'truncated file',
    content: settingsBytes().slice(0, 99),
    lines: [/^\$: found .*, allowed: a complete JSON object/],
  },
];

for (const {title, content, lines} of INVALID_FILES) {
  for (const extraArgs of [[], ['--check']]) {
    test.serial(
      `exit code 2 and one line per problem: ${title} ${extraArgs.join('')}`,
      async t => {
        const file = await writeSettings(t, content);
        const run = startProcess(t, MAIN, ['--settings', file, ...extraArgs]);
        t.is(await run.exitCode, 2);
        const problems = run.output.stderr.trimEnd().split('\n').sort();
        t.is(problems.length, lines.length);
        lines.forEach((line, index) => t.regex(problems[index] ?? '', line));
        t.is(run.output.stdout, '');
      },
    );
  }
}

test.serial('exit code 2: a missing file', async t => {
  const run = startProcess(t, MAIN, [
    '--settings',
    '/nonexistent/settings.json',
  ]);
  t.is(await run.exitCode, 2);
  t.regex(
    run.output.stderr,
    /^\$: found ".*settings.json", allowed: a readable file; ENOENT[^\n]*\n$/,
  );
});

const WRONG_ARGUMENTS: readonly (readonly [readonly string[], RegExp])[] = [
  [[], /Missing required argument: settings/],
  [['--settings'], /Not enough arguments following: settings/],
  [['--settings', 'a', '--settings', 'b'], /may be given once only/],
  [['--settings', 'a', '--sttings', 'b'], /Unknown arguments?: sttings/],
  [['--settings', 'a', 'b'], /Unknown (argument|command): b/],
];

for (const [args, message] of WRONG_ARGUMENTS) {
  test.serial(`exit code 2 with usage: [${args.join(' ')}]`, async t => {
    const run = startProcess(t, MAIN, args);
    t.is(await run.exitCode, 2);
    t.regex(run.output.stderr, /fulmarhollowd --settings FILE/);
    t.regex(run.output.stderr, message);
    t.is(run.output.stdout, '');
  });
}

test.serial(
  '--check accepts a valid file, --version and --help need none',
  async t => {
    const file = await writeSettings(t, settingsBytes());
    const check = startProcess(t, MAIN, ['--check', '--settings', file]);
    const version = startProcess(t, MAIN, ['--version']);
    const help = startProcess(t, MAIN, ['--help']);
    t.is(await check.exitCode, 0);
    t.is(check.output.stdout, 'settings are valid\n');
    t.is(await version.exitCode, 0);
    t.is(version.output.stdout, `${readPackageVersion()}\n`);
    t.is(await help.exitCode, 0);
    t.regex(help.output.stdout, /--settings/);
  },
);

/** Starts the daemon with listeners on free ports. */
async function startDaemon(t: ExecutionContext, replaced = {}) {
  const file = await writeSettings(t, settingsBytes(replaced));
  const run = startProcess(t, MAIN, ['--settings', file]);
  const waitForEvent = async (event: string): Promise<void> => {
    while (!run.output.stdout.includes(`"event":"${event}"`)) {
      await once(run.child.stdout, 'data');
    }
  };
  return {...run, waitForEvent};
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test.serial(`exit code 0 after a planned stop by ${signal}`, async t => {
    const run = await startDaemon(t);
    await run.waitForEvent('node-started');
    run.child.kill(signal);
    t.is(await run.exitCode, 0);
    const events = logLines(run.output.stdout).map(entry => entry['event']);
    t.is(events[0], 'node-starting');
    t.is(events.at(-1), 'node-stopped');
    t.true(events.includes('node-stopping'));
  });
}

// Guards against a host that cannot be stopped: the drain waits for a request
// that never ends, and the operator sends a second signal.
test.serial('a second signal ends the process with exit code 1', async t => {
  const run = await startDaemon(t);
  await run.waitForEvent('node-started');
  run.child.kill('SIGTERM');
  await run.waitForEvent('node-stopping');
  run.child.kill('SIGINT');
  t.is(await run.exitCode, 1);
});

// Guards against a failed start that looks like a planned stop: the port is in
// use, and the process exits with the code of a planned stop.
test.serial(
  'exit code 1 and a log line when a listener cannot open',
  async t => {
    const blocker = net.createServer();
    await new Promise<void>(resolve => blocker.listen(0, '127.0.0.1', resolve));
    t.teardown(() => blocker.close());
    const {port} = blocker.address() as net.AddressInfo;
    const listen = {
      caller: {address: '127.0.0.1', port},
      local: {address: '127.0.0.1', port: 0},
      peer: {address: '127.0.0.1', port: 0},
      admin: {address: '127.0.0.1', port: 0},
    };
    const run = await startDaemon(t, {listen});
    t.is(await run.exitCode, 1);
    const last = logLines(run.output.stdout).at(-1);
    t.is(last?.['event'], 'start-failed');
  },
);

// Guards against nodes that exit together with the tool that started them: the
// reader of the log closes the pipe, and the error of that stream is not
// handled.
test.serial(
  'a log reader that closes the pipe does not end the node',
  async t => {
    const run = await startDaemon(t);
    await run.waitForEvent('node-started');
    run.child.stdout.destroy();
    run.child.kill('SIGTERM');
    t.is(await run.exitCode, 0);
  },
);
