/**
 * Keeps the compiled code of a bundle: `code_cache.js BUNDLE CACHE`, run with
 * the flags that the program is run with, or its runtime will not take it.
 */
import {writeFileSync} from 'node:fs';
import {resolve} from 'node:path';
import process from 'node:process';
import {setImmediate} from 'node:timers';
import {loadProgram} from './compiled_program.js';

const [bundleFile, cacheFile] = process.argv.slice(2);
const {script, run} = loadProgram(resolve(bundleFile));

// Without settings the program ends once all of it is loaded; what it has used
// by then is compiled and goes into the file, the rest stays as source.
run();
setImmediate(() => {
  writeFileSync(cacheFile, script.createCachedData());
  process.exit(0);
});
