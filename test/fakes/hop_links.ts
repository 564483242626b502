/**
 * TCP relays between the nodes of a fleet, one for each direction of each pair, which can
 * lose their connections.
 */
import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

/** A relay from one node to the listener of another one. */
export interface HopLink {
  readonly fromIndex: number;
  readonly toIndex: number;
  /** Address of the receiving node and of the relay. */
  readonly address: string;
  readonly port: number;
  readonly targetPort: number;
}

export interface HopLinks {
  /**
   * Resets the connections from and to a node. Until `restore`, new ones are accepted,
   * but nothing is forwarded on them.
   */
  cut(hostIndex: number): void;
  /** Resets the connections that were opened meanwhile; later ones are forwarded. */
  restore(hostIndex: number): void;
  /** Holds back what other nodes send to a node; what it sends arrives. */
  holdIncoming(hostIndex: number): void;
  /** Ends one `holdIncoming`; what was held back is delivered with the last one. */
  releaseIncoming(hostIndex: number): void;
  close(): void;
}

interface SourceOfData {
  readonly receiver: Socket;
  readonly receiverIndex: number;
}

/** Opens all relays. */
export async function openHopLinks(
  links: readonly HopLink[],
): Promise<HopLinks> {
  const cutIndexes = new Set<number>();
  /** How often what other nodes send to a node is held back at once, by its index. */
  const holdCounts = new Map<number, number>();
  /** Sources of the data for a node, by its index. */
  const sources = new Map<Socket, SourceOfData>();
  const sockets = new Map<Socket, HopLink>();
  const servers: Server[] = [];

  const isAt = ({fromIndex, toIndex}: HopLink, hostIndex: number): boolean =>
    fromIndex === hostIndex || toIndex === hostIndex;
  const track = (socket: Socket, link: HopLink): void => {
    sockets.set(socket, link);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  };
  const resetAll = (hostIndex: number): void => {
    for (const [socket, link] of [...sockets]) {
      if (isAt(link, hostIndex)) socket.resetAndDestroy();
    }
  };
  const forward = (from: Socket, to: Socket, receiverIndex: number): void => {
    sources.set(from, {receiver: to, receiverIndex});
    if (!holdCounts.has(receiverIndex)) from.pipe(to);
    from.on('close', hasError => {
      sources.delete(from);
      if (hasError) to.resetAndDestroy();
      else to.destroySoon();
    });
  };

  for (const link of links) {
    const server = createServer({noDelay: true}, socket => {
      track(socket, link);
      if ([...cutIndexes].some(index => isAt(link, index))) return;
      const target = connect({
        host: link.address,
        port: link.targetPort,
        noDelay: true,
      });
      track(target, link);
      forward(socket, target, link.toIndex);
      forward(target, socket, link.fromIndex);
    });
    servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(link.port, link.address, resolve);
    });
  }
  return {
    cut: hostIndex => {
      cutIndexes.add(hostIndex);
      resetAll(hostIndex);
    },
    restore: hostIndex => {
      cutIndexes.delete(hostIndex);
      resetAll(hostIndex);
    },
    holdIncoming: hostIndex => {
      const holdCount = holdCounts.get(hostIndex) ?? 0;
      holdCounts.set(hostIndex, holdCount + 1);
      if (holdCount > 0) return;
      for (const [source, {receiver, receiverIndex}] of sources) {
        if (receiverIndex === hostIndex) source.unpipe(receiver);
      }
    },
    releaseIncoming: hostIndex => {
      const holdCount = holdCounts.get(hostIndex) ?? 0;
      if (holdCount > 1) {
        holdCounts.set(hostIndex, holdCount - 1);
        return;
      }
      // A source that is piped twice delivers everything twice.
      if (!holdCounts.delete(hostIndex)) return;
      for (const [source, {receiver, receiverIndex}] of sources) {
        if (receiverIndex === hostIndex) source.pipe(receiver);
      }
    },
    close: () => {
      for (const server of servers) server.close();
      for (const socket of sockets.keys()) socket.destroy();
    },
  };
}
