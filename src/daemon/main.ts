#!/usr/bin/env node
/**
 * Entry point of `fulmarhollowd`.
 */
import {runProgram} from './program.js';

// The node is loaded last so that checking settings stays quick and light.
await runProgram(process.argv.slice(2), async () => {
  const {createNode} = await import('./node.js');
  return createNode;
});
