/** Bundles the node into one file: a process that starts reads nothing else. */
import {build} from 'esbuild';

/**
 * Packages that bunyan uses if they can be loaded, for tracing and for rotated
 * files; a node needs neither, and loading them slows its start.
 */
const LEFT_OUT = /^(dtrace-provider|mv|moment|safe-json-stringify)$/;

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
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/fulmarhollowd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [leaveOut],
});
