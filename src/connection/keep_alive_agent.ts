/**
 * HTTP agents with pools of keep-alive connections.
 */
import http from 'node:http';
import type {Socket} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';

/** Limits of an agent's pools. */
export interface KeepAliveAgentOptions {
  readonly maxIdleMillis: number;
  readonly maxSocketsCount: number;
}

/**
 * Share of the server's announced idle timeout after which a connection is
 * closed: a request written while the server closes an idle connection is lost,
 * and it is unknown whether it ran.
 */
const ANNOUNCED_TIMEOUT_RATIO = 0.5;

const MILLIS_PER_SECOND = 1000;

/**
 * Closes the idle connections to one address. If one connection was dropped
 * silently, the idle ones most likely were as well.
 */
export function closeIdleConnections(agent: http.Agent, to: Endpoint): void {
  const name = agent.getName({host: to.address, port: to.port});
  for (const socket of agent.freeSockets[name] ?? []) socket.destroy();
}

/**
 * Makes the next request to one address use none of these connections. Others that are idle
 * come first, because a busy server may reset new ones.
 */
export function avoidConnections(
  agent: http.Agent,
  to: Endpoint,
  isAvoided: (connection: Socket) => boolean,
): void {
  const name = agent.getName({host: to.address, port: to.port});
  const idle = agent.freeSockets[name];
  if (idle === undefined) return;
  const isUsable = (connection: Socket): boolean =>
    !connection.destroyed && !isAvoided(connection);
  const usable = idle.filter(isUsable);
  if (usable.length === 0) {
    for (const connection of idle) connection.destroy();
    return;
  }
  const others = idle.filter(connection => !isUsable(connection));
  // The agent takes the last one.
  idle.splice(0, idle.length, ...others, ...usable);
}

/**
 * Removes closed connections where the agent would reuse one: Node.js removes a connection
 * only once it has emitted `close`, and a request sent before then is lost.
 */
export function removeClosedConnections(agent: http.Agent, to: Endpoint): void {
  const name = agent.getName({host: to.address, port: to.port});
  const idle = agent.freeSockets[name];
  while (idle?.at(-1)?.destroyed === true) idle.pop();
}

/** Node.js stores the last request of a connection in this field. */
type PooledSocket = Socket & {readonly _httpMessage?: LastMessage};

/** Creates an agent that reuses the most recently used connection first. */
export function createKeepAliveAgent(
  options: KeepAliveAgentOptions,
): http.Agent {
  return new (class extends http.Agent {
    /**
     * Key of a pool. For each request, the default implementation builds a
     * longer one from options that are never set here.
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
      // A faulty server may send data after a complete response. On a reused
      // connection these bytes would be parsed as the next response.
      socket.on('data', destroyOnData);
      return true;
    }
    /** Called by Node.js when an idle connection is reused. */
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
  return Number(match[1]) * MILLIS_PER_SECOND * ANNOUNCED_TIMEOUT_RATIO;
}
