/**
 * Bundles the node into one file, so that a process that starts reads little
 * else, and compiles it: `build.js [DIRECTORY]`, by default `target`.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {URL} from 'node:url';
import {build} from 'esbuild';

const directory = process.argv[2] ?? 'target';

/**
 * Packages that bunyan uses if they can be loaded, for tracing and for rotated
 * files; a node needs neither, and loading them slows its start.
 */
const LEFT_OUT = /^(dtrace-provider|mv|moment|safe-json-stringify)$/;

/**
 * Modules that are loaded with every start and do nothing for a node: figures
 * of the runtime itself, pushed and clustered metrics.
 */
const EMPTIED =
  /prom-client[/\\]lib[/\\](defaultMetrics|pushgateway|cluster)\.js$|@opentelemetry[/\\]api[/\\]/;

const leaveOut = {
  name: 'leave-out',
  setup: builder => {
    builder.onResolve({filter: LEFT_OUT}, args => ({
      path: args.path,
      namespace: 'left-out',
    }));
    builder.onLoad({filter: /.*/, namespace: 'left-out'}, () => ({
      contents: 'throw new Error("left out of the bundle");',
    }));
    builder.onLoad({filter: EMPTIED}, () => ({contents: ''}));
  },
};

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [leaveOut],
};

/** Flags of the runtime in the line that runs the program. */
function runtimeFlags() {
  const text = readFileSync(new URL('system.toml', import.meta.url), 'utf8');
  const line = /^run = "node (.*) target\/fulmarhollowd\.cjs"$/m.exec(text);
  if (line === null) throw new Error('system.toml does not run the program');
  return line[1].split(' ');
}

await build({
  ...common,
  entryPoints: ['platform/main.ts'],
  outfile: join(directory, 'node.cjs'),
});
await build({
  ...common,
  entryPoints: ['deploy/start.js'],
  outfile: join(directory, 'fulmarhollowd.cjs'),
});
execFileSync(
  process.execPath,
  [
    ...runtimeFlags(),
    'deploy/code_cache.js',
    join(directory, 'node.cjs'),
    join(directory, 'node.cache'),
  ],
  {stdio: 'ignore', env: {}},
);
