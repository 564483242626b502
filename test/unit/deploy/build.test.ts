import {execFileSync, spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';

const RUN_LINE = /^run = "node (.*) target\/(\S+)"$/m;

interface BuildResult {
  readonly directory: string;
  readonly flags: readonly string[];
  readonly program: string;
}

function runBuild(): BuildResult {
  const directory = mkdtempSync(join(tmpdir(), 'fulmarhollow-build-'));
  execFileSync(process.execPath, ['deploy/build.js', directory]);
  const line = RUN_LINE.exec(readFileSync('deploy/system.toml', 'utf8'));
  return {
    directory,
    flags: (line?.[1] ?? '').split(' '),
    program: join(directory, line?.[2] ?? ''),
  };
}

let build: BuildResult;

test.before(() => {
  build = runBuild();
});

test.after.always(() => {
  rmSync(build.directory, {recursive: true, force: true});
});

function startProgram(flags: readonly string[]) {
  return spawnSync(process.execPath, [...flags, build.program], {
    env: {},
    encoding: 'utf8',
  });
}

test.serial('the built program starts and fails without settings', t => {
  const {status, stderr} = startProgram(build.flags);
  t.is(status, 2);
  t.regex(stderr, /ENOENT/);
});

test.serial(
  'the runtime accepts the compiled code with the flags of the run line',
  t => {
    // Node.js silently rejects cached code that was compiled with other flags,
    // and each start then takes a quarter longer.
    const script = `
    const vm = require('node:vm');
    const fs = require('node:fs');
    const source = require('node:module').wrap(
      fs.readFileSync(${JSON.stringify(join(build.directory, 'node.cjs'))}, 'utf8'));
    const cachedData =
      fs.readFileSync(${JSON.stringify(join(build.directory, 'node.cache'))});
    console.log(new vm.Script(source, {cachedData}).cachedDataRejected);`;
    const isRejected = execFileSync(
      process.execPath,
      [...build.flags, '-e', script],
      {env: {}, encoding: 'utf8'},
    );
    t.is(isRejected.trim(), 'false');
  },
);

test.serial('the program starts without compiled code', t => {
  rmSync(join(build.directory, 'node.cache'));
  t.is(startProgram(build.flags).status, 2);
  t.is(startProgram([]).status, 2);
});
