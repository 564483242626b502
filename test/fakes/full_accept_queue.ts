/**
 * A listener that accepts no connections. The kernel establishes as many as its queue
 * holds and drops further attempts, as for a process that is slow to accept.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

export interface ListeningAddress {
  readonly address: string;
  readonly port: number;
}

/** Blocks its thread, because Node.js accepts connections whenever it can. */
const WORKER_SOURCE = `
  const {parentPort, workerData} = require('node:worker_threads');
  require('node:net').createServer().listen(workerData, () => {
    parentPort.postMessage('listening');
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;

/** Starts to listen; the returned function closes the listener. */
export async function listenWithFullQueue({
  address,
  port,
}: ListeningAddress): Promise<() => Promise<unknown>> {
  const worker = new Worker(WORKER_SOURCE, {
    eval: true,
    workerData: {host: address, port, backlog: 1},
  });
  await once(worker, 'message');
  return () => worker.terminate();
}
