/**
 * Contract of the daemon's process: arguments, settings, signals, exit codes.
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

// Tests run one after the other: each starts processes, and many at once would
// take the machine from the suites beside this one.
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

function start(t: ExecutionContext, script: string, args: readonly string[]) {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  const text = {stdout: '', stderr: ''};
  child.stdout.on('data', chunk => (text.stdout += String(chunk)));
  child.stderr.on('data', chunk => (text.stderr += String(chunk)));
  const closed = once(child, 'close') as Promise<[number | null]>;
  return {child, text, exitCode: closed.then(([code]) => code)};
}

function logLines(text: string): readonly Record<string, unknown>[] {
  return text
    .trimEnd()
    .split('\n')
    .map(line => JSON.parse(line) as Record<string, unknown>);
}

// Symptom: a host comes up with half of what the operator meant, or a stack
// trace tells nothing. Sequence: a wrong command line or settings file. Cause:
// work begun before all of it was checked.
const REFUSED: readonly {
  readonly title: string;
  readonly content: Uint8Array;
  readonly lines: readonly RegExp[];
}[] = [
  {
    title: 'one wrong field',
    content: settingsBytes({hostName: 7}),
    lines: [/^\$\.hostName: found 7, allowed: a host name of/],
  },
  {
    title: 'several wrong fields',
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

for (const {title, content, lines} of REFUSED) {
  for (const extraArgs of [[], ['--check']]) {
    test.serial(
      `exit code 2 and a line each: ${title} ${extraArgs.join('')}`,
      async t => {
        const file = await writeSettings(t, content);
        const run = start(t, MAIN, ['--settings', file, ...extraArgs]);
        t.is(await run.exitCode, 2);
        const told = run.text.stderr.trimEnd().split('\n').sort();
        t.is(told.length, lines.length);
        lines.forEach((line, index) => t.regex(told[index] ?? '', line));
        t.is(run.text.stdout, '');
      },
    );
  }
}

test.serial('exit code 2: a file that is not there', async t => {
  const run = start(t, MAIN, ['--settings', '/nonexistent/settings.json']);
  t.is(await run.exitCode, 2);
  t.regex(
    run.text.stderr,
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
    const run = start(t, MAIN, args);
    t.is(await run.exitCode, 2);
    t.regex(run.text.stderr, /fulmarhollowd --settings FILE/);
    t.regex(run.text.stderr, message);
    t.is(run.text.stdout, '');
  });
}

test.serial(
  '--check accepts a right file, --version and --help need none',
  async t => {
    const file = await writeSettings(t, settingsBytes());
    const check = start(t, MAIN, ['--check', '--settings', file]);
    const version = start(t, MAIN, ['--version']);
    const help = start(t, MAIN, ['--help']);
    t.is(await check.exitCode, 0);
    t.is(check.text.stdout, 'settings are valid\n');
    t.is(await version.exitCode, 0);
    t.is(version.text.stdout, `${readPackageVersion()}\n`);
    t.is(await help.exitCode, 0);
    t.regex(help.text.stdout, /--settings/);
  },
);

/** Starts the daemon with listeners on ports that the system chooses. */
async function startDaemon(t: ExecutionContext, replaced = {}) {
  const file = await writeSettings(t, settingsBytes(replaced));
  const run = start(t, MAIN, ['--settings', file]);
  const sees = async (event: string): Promise<void> => {
    while (!run.text.stdout.includes(`"event":"${event}"`)) {
      await once(run.child.stdout, 'data');
    }
  };
  return {...run, sees};
}

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  test.serial(`exit code 0 after a planned stop by ${signal}`, async t => {
    const run = await startDaemon(t);
    await run.sees('node-started');
    run.child.kill(signal);
    t.is(await run.exitCode, 0);
    const events = logLines(run.text.stdout).map(entry => entry['event']);
    t.is(events[0], 'node-starting');
    t.is(events.at(-1), 'node-stopped');
    t.true(events.includes('node-stopping'));
  });
}

// Symptom: a host cannot be taken down. Sequence: the drain waits for a
// request that never ends; the operator signals again. Cause: no way out.
test.serial('a second signal ends the process with exit code 1', async t => {
  const run = await startDaemon(t);
  await run.sees('node-started');
  run.child.kill('SIGTERM');
  await run.sees('node-stopping');
  run.child.kill('SIGINT');
  t.is(await run.exitCode, 1);
});

// Symptom: a node that does not run looks like one that stopped as planned.
// Sequence: its port is taken. Cause: the exit code of a planned stop.
test.serial('exit code 1 and a line when a listener cannot open', async t => {
  const taken = net.createServer();
  await new Promise<void>(resolve => taken.listen(0, '127.0.0.1', resolve));
  t.teardown(() => taken.close());
  const {port} = taken.address() as net.AddressInfo;
  const listen = {
    caller: {address: '127.0.0.1', port},
    local: {address: '127.0.0.1', port: 0},
    peer: {address: '127.0.0.1', port: 0},
    admin: {address: '127.0.0.1', port: 0},
  };
  const run = await startDaemon(t, {listen});
  t.is(await run.exitCode, 1);
  const last = logLines(run.text.stdout).at(-1);
  t.is(last?.['event'], 'start-failed');
});

// Symptom: nodes end when the tool that started them does. Sequence: the reader
// of the log goes away. Cause: an unhandled error of that stream.
test.serial('a log reader that goes away does not end the node', async t => {
  const run = await startDaemon(t);
  await run.sees('node-started');
  run.child.stdout.destroy();
  run.child.kill('SIGTERM');
  t.is(await run.exitCode, 0);
});
