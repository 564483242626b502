/** Starts the node from the bundle and code cache in this file's directory. */
import {dirname, join} from 'node:path';
import process from 'node:process';
import {loadProgram} from './compiled_program.js';

const directory = dirname(process.argv[1]);
loadProgram(join(directory, 'node.cjs'), join(directory, 'node.cache')).run();
