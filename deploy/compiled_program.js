/**
 * Loads a bundled program with the V8 code cache of its build, if the runtime
 * accepts it. Reading and compiling the source takes most of a start, and again
 * of each restart of a killed process.
 */
import {readFileSync} from 'node:fs';
import Module, {createRequire} from 'node:module';
import {dirname} from 'node:path';
import {Script} from 'node:vm';

/**
 * Loads a bundle; throws if the file cannot be read. The source is compiled if
 * `cacheFile` is absent, or is of another version or other flags of Node.js.
 */
export function loadProgram(bundleFile, cacheFile) {
  const cachedData = cacheFile && readIfExists(cacheFile);
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

function readIfExists(file) {
  try {
    return readFileSync(file);
  } catch {
    // Without the cache the program starts more slowly but works the same.
    return undefined;
  }
}
