/**
 * Bundles the node into one file, so that a starting process reads few others,
 * and compiles it: `build.js [DIRECTORY]`, by default `target`.
 */
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {URL} from 'node:url';
import {build} from 'esbuild';

const directory = process.argv[2] ?? 'target';

/**
 * Optional dependencies of bunyan, for tracing and log rotation. A node needs
 * neither, and loading them slows its start.
 */
const EXCLUDED_PACKAGES = /^(dtrace-provider|mv|moment|safe-json-stringify)$/;

/**
 * Modules that are loaded at every start but not used by a node: metrics of the
 * runtime, pushed and clustered metrics, and OpenTelemetry.
 */
const EMPTY_MODULES =
  /prom-client[/\\]lib[/\\](defaultMetrics|pushgateway|cluster)\.js$|@opentelemetry[/\\]api[/\\]/;

const excludeModules = {
  name: 'exclude-modules',
  setup: builder => {
    builder.onResolve({filter: EXCLUDED_PACKAGES}, args => ({
      path: args.path,
      namespace: 'excluded',
    }));
    builder.onLoad({filter: /.*/, namespace: 'excluded'}, () => ({
      contents: 'throw new Error("excluded from the bundle");',
    }));
    builder.onLoad({filter: EMPTY_MODULES}, () => ({contents: ''}));
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
  plugins: [excludeModules],
};

/** Reads the flags of Node.js from the `run` line of `system.toml`. */
function readRuntimeFlags() {
  const text = readFileSync(new URL('system.toml', import.meta.url), 'utf8');
  const line = /^run = "node (.*) target\/fulmarhollowd\.cjs"$/m.exec(text);
  if (line === null) throw new Error('system.toml has no matching run line');
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
    ...readRuntimeFlags(),
    'deploy/code_cache.js',
    join(directory, 'node.cjs'),
    join(directory, 'node.cache'),
  ],
  {stdio: 'ignore', env: {}},
);
