/**
 * Allocates ports for programs whose address must be known before they start.
 */
import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {CapacityError} from '../base/errors.js';
import type {Disposable} from '../base/lifecycle.js';
import {LOOPBACK_ADDRESS, listen} from './http_support.js';

// Below the ephemeral port range: an outgoing connection could otherwise occupy
// the port of a stopped program, so that its restart fails at times.
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
const BLOCK_SIZE = 250;
const BLOCKS_COUNT = (LAST_PORT - FIRST_PORT) / BLOCK_SIZE;

/** A range of ports that is reserved for one fleet on this machine. */
export interface PortBlock extends Disposable {
  /** Returns the next unused port; rejects with a CapacityError if none is left. */
  allocatePort(): Promise<number>;
}

/**
 * Claims a block by listening on its first port until it is disposed; other
 * processes then fail to listen on that port and try the next block.
 */
export async function claimPortBlock(): Promise<PortBlock> {
  const start = Math.floor(Math.random() * BLOCKS_COUNT);
  for (let i = 0; i < BLOCKS_COUNT; i += 1) {
    const index = (start + i) % BLOCKS_COUNT;
    const firstPort = FIRST_PORT + index * BLOCK_SIZE;
    const guardServer = await tryListen(firstPort);
    if (guardServer !== undefined) return createBlock(firstPort, guardServer);
  }
  throw new CapacityError('no block of free ports', {
    props: {step: 'claim-ports'},
  });
}

function createBlock(firstPort: number, guardServer: Server): PortBlock {
  let nextPort = firstPort + 1;
  return {
    allocatePort: async () => {
      while (nextPort < firstPort + BLOCK_SIZE) {
        const port = nextPort;
        nextPort += 1;
        const probe = await tryListen(port);
        if (probe === undefined) continue;
        await new Promise(resolve => probe.close(resolve));
        return port;
      }
      throw new CapacityError('block of ports is used up', {
        props: {step: 'take-port'},
      });
    },
    dispose: () => {
      guardServer.close();
    },
  };
}

async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  try {
    await listen(server, LOOPBACK_ADDRESS, port);
    return server;
  } catch {
    return undefined;
  }
}
