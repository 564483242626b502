/**
 * The daemon's program around a node that only does what its service name says.
 */
import {InvalidInputError} from '../../src/base/errors.js';
import type {DaemonNode, NodeOptions} from '../../src/daemon/daemon_node.js';
import {runProgram} from '../../src/daemon/program.js';

const PORTS = {caller: 1, local: 2, peer: 3, control: 4, admin: 5};

/** Keeps the process alive like the listeners of a node. */
const KEEP_ALIVE_MILLIS = 1 << 30;

function createFakeNode({settings}: NodeOptions): DaemonNode {
  const behaviour = settings.service;
  const keepAlive = setInterval(() => undefined, KEEP_ALIVE_MILLIS);
  return {
    start: async () => {
      if (behaviour === 'start-fails') {
        clearInterval(keepAlive);
        const props = {step: 'listen', peer: '127.0.0.1:80'};
        throw new InvalidInputError('no port', {props});
      }
      if (behaviour === 'throws-later') {
        setImmediate(() => {
          throw new TypeError('fault');
        });
      }
      return PORTS;
    },
    stop: async () => {
      if (behaviour === 'never-stops') await new Promise(() => undefined);
      if (behaviour === 'stop-fails') throw new TypeError('fault');
      if (behaviour !== 'lingers') clearInterval(keepAlive);
    },
  };
}

await runProgram(process.argv.slice(2), async () => createFakeNode);
