/**
 * A bundled program as a compiled script, from code that was compiled when it
 * was built where the runtime takes it: reading and compiling the source is
 * most of a start, and every process that was killed pays it again.
 */
import {readFileSync} from 'node:fs';
import Module, {createRequire} from 'node:module';
import {dirname} from 'node:path';
import {Script} from 'node:vm';

/**
 * Loads a bundle. Without `cacheFile`, or with code that another version or
 * other flags of the runtime made, the source is compiled.
 */
export function loadProgram(bundleFile, cacheFile) {
  const cachedData = cacheFile && readIfThere(cacheFile);
  const script = new Script(Module.wrap(readFileSync(bundleFile, 'utf8')), {
    filename: bundleFile,
    ...(cachedData ? {cachedData} : {}),
  });
  const run = () => {
    const module = {exports: {}};
    const require = createRequire(bundleFile);
    const main = script.runInThisContext();
    main(module.exports, require, module, bundleFile, dirname(bundleFile));
  };
  return {script, run};
}

function readIfThere(file) {
  try {
    return readFileSync(file);
  } catch {
    // Slower, and as good.
    return undefined;
  }
}
