/**
 * Pools of client connections that are kept open between requests.
 */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';

/** How long idle connections are kept. */
export interface KeepAliveAgentOptions {
  readonly maxIdleMillis: number;
  readonly maxSocketsCount: number;
}

/**
 * Share of the idle time that the other side announces: a request written as
 * the other side closes an idle connection is lost, and nobody can tell
 * whether it ran.
 */
const ANNOUNCED_RATIO = 0.5;

const MILLIS_PER_SECOND = 1000;

/**
 * Closes the idle connections to one address. Where one connection fell silent
 * without a word, those that are idle most likely did as well.
 */
export function closeIdleConnections(agent: http.Agent, to: Endpoint): void {
  const name = agent.getName({host: to.address, port: to.port});
  for (const socket of agent.freeSockets[name] ?? []) socket.destroy();
}

/** Node.js keeps the request that a connection last served here. */
type PooledSocket = Socket & {readonly _httpMessage?: LastMessage};

/** Creates a pool; the most recently used connection is used first. */
export function createKeepAliveAgent(
  options: KeepAliveAgentOptions,
): http.Agent {
  return new (class extends http.Agent {
    /**
     * Name of a pool. The library's own builds a longer one from options that
     * are never set here, for each request.
     */
    override getName(options: http.ClientRequestArgs): string {
      return `${options.host ?? ''}:${String(options.port ?? '')}`;
    }
    /** Called by Node.js when a connection becomes idle. */
    override keepSocketAlive(socket: PooledSocket): boolean {
      const announced = announcedIdleMillis(socket);
      if (announced === 0) return false;
      socket.unref();
      socket.setTimeout(Math.min(options.maxIdleMillis, announced));
      // A faulty server may send more after a complete answer. On a connection
      // that is used again those bytes would be taken for the next answer.
      socket.on('data', destroyOnData);
      return true;
    }
    /** Called by Node.js when an idle connection is used again. */
    override reuseSocket(
      socket: PooledSocket,
      request: http.ClientRequest,
    ): void {
      socket.removeListener('data', destroyOnData);
      socket.setTimeout(0);
      super.reuseSocket(socket, request);
    }
  })({
    keepAlive: true,
    scheduling: 'lifo',
    maxSockets: options.maxSocketsCount,
  });
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

interface LastMessage {
  readonly res?: http.IncomingMessage;
}

function announcedIdleMillis(socket: PooledSocket): number {
  const header = socket._httpMessage?.res?.headers['keep-alive'];
  const match = /timeout=(\d+)/.exec(String(header));
  if (match === null) return Infinity;
  return Number(match[1]) * MILLIS_PER_SECOND * ANNOUNCED_RATIO;
}
