/**
 * Pools of keep-alive connections to other processes.
 */
import {Agent} from 'node:http';
import type {Disposable} from '../base/lifecycle.js';

/** Bounds of one pool. */
export interface ConnectionPoolOptions {
  /** Open sockets to one address. */
  readonly socketsCount: number;
  /** Idle time after which a socket is closed. */
  readonly idleMillis: number;
  /** Local address to connect from; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

/** Connections to any number of addresses. */
export interface ConnectionPool extends Disposable {
  /**
   * Agent for a request. A request that must not be repeated only gets a
   * connection that carried traffic moments ago or a new one.
   */
  agent(isRepeatBanned: boolean): Agent;
  /** Changes the bound on open sockets to one address. */
  setSocketsCount(socketsCount: number): void;
  /** Closes idle connections to an address on which another went silent. */
  closeIdle(address: string, port: number): void;
}

/**
 * Idle time up to which a connection counts as recently good. The receiver may
 * close an idle connection just as a request is written; the request is then
 * lost with an unknown outcome. A short idle time makes that window rare.
 */
const RECENTLY_GOOD_MILLIS = 500;

/** Creates an empty pool. */
export function createConnectionPool(
  options: ConnectionPoolOptions,
): ConnectionPool {
  const repeatable = createAgent(options, options.idleMillis);
  const unrepeatable = createAgent(options, RECENTLY_GOOD_MILLIS);
  return {
    agent: isRepeatBanned => (isRepeatBanned ? unrepeatable : repeatable),
    setSocketsCount: socketsCount => {
      for (const agent of [repeatable, unrepeatable]) {
        agent.maxSockets = socketsCount;
        agent.maxFreeSockets = socketsCount;
      }
    },
    closeIdle: (address, port) => {
      for (const agent of [repeatable, unrepeatable]) {
        closeIdleSockets(agent, `${address}:${String(port)}:`);
      }
    },
    dispose: () => {
      repeatable.destroy();
      unrepeatable.destroy();
    },
  };
}

function createAgent(
  options: ConnectionPoolOptions,
  idleMillis: number,
): Agent {
  return new Agent({
    keepAlive: true,
    maxSockets: options.socketsCount,
    maxFreeSockets: options.socketsCount,
    scheduling: 'lifo',
    timeout: idleMillis,
    noDelay: true,
    ...(options.localAddress === undefined
      ? {}
      : {localAddress: options.localAddress}),
  });
}

/**
 * When something between two hosts has lost track of one connection, it has
 * often lost the others opened before it. Requests on them would each wait
 * for the silence bound; closing them makes the next request connect anew.
 */
function closeIdleSockets(agent: Agent, addressPrefix: string): void {
  for (const [name, sockets] of Object.entries(agent.freeSockets)) {
    if (!name.startsWith(addressPrefix)) continue;
    for (const socket of sockets ?? []) socket.destroy();
  }
}
