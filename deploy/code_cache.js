/**
 * Writes the V8 code cache of a bundle: `code_cache.js BUNDLE CACHE`. Must run
 * with the same Node.js flags as the program, or the cache is rejected.
 */
import {writeFileSync} from 'node:fs';
import {resolve} from 'node:path';
import process from 'node:process';
import {setImmediate} from 'node:timers';
import {loadProgram} from './compiled_program.js';

const [bundleFile, cacheFile] = process.argv.slice(2);
const {script, run} = loadProgram(resolve(bundleFile));

// Without settings the program ends once all modules are loaded. The functions
// called by then are compiled and cached; others are compiled when called.
run();
setImmediate(() => {
  writeFileSync(cacheFile, script.createCachedData());
  process.exit(0);
});
