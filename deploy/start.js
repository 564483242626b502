/** Starts the node that was built beside this file. */
import {dirname, join} from 'node:path';
import process from 'node:process';
import {loadProgram} from './compiled_program.js';

const directory = dirname(process.argv[1]);
loadProgram(join(directory, 'node.cjs'), join(directory, 'node.cache')).run();
