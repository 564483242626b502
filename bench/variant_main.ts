/**
 * Program: the product's daemon with one mechanism switched off.
 */
import {runProgram} from '../src/daemon/program.js';
import {createNode} from '../src/daemon/node.js';
import {createDecisionsWithout, toMechanism} from './variant_decisions.js';

// The mechanism comes first, the daemon's own arguments follow.
const [name, ...daemonArgs] = process.argv.slice(2);
const mechanism = toMechanism(name);

await runProgram(daemonArgs, () =>
  Promise.resolve(options =>
    createNode({
      ...options,
      createDecisions: createDecisionsWithout(mechanism),
    }),
  ),
);
