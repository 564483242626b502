/**
 * A TCP relay in front of one listener that injects network faults: it can
 * partition chosen sources, drop or reset connections and limit bandwidth.
 */
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {LOOPBACK_ADDRESS, listen} from './http_support.js';

/** How a link treats the connections of a source. */
export type LinkMode =
  | 'open'
  /** Accepts connections and keeps them open, but forwards no data. */
  | 'silent'
  /** Resets connections. */
  | 'reset';

/** Resolves the source of a connection from its remote port. */
export type SourceResolver = (remotePort: number) => Promise<string>;

/** Options of a link. */
export interface FaultyLinkOptions {
  /** Address and port of the link; the default is any free loopback port. */
  readonly listenAddress?: string | undefined;
  readonly listenPort?: number | undefined;
  readonly targetAddress?: string | undefined;
  /** Initial port of the listener; `retarget` changes it. */
  readonly targetPort: number;
  /** If absent, every connection has the source `any`. */
  readonly resolveSource?: SourceResolver | undefined;
}

/** A running relay. */
export interface FaultyLink {
  /** Port that clients connect to. */
  readonly port: number;
  retarget(port: number): void;
  /** Sets the mode of one source, for existing and new connections. */
  setMode(source: string, mode: LinkMode): void;
  /** Sets the mode of all sources without a mode of their own. */
  setDefaultMode(mode: LinkMode): void;
  /**
   * Limits the bandwidth of each connection in each direction, starting with
   * the next chunk; undefined removes the limit.
   */
  setBandwidth(bytesPerSecond: number | undefined): void;
  /**
   * Opens or closes the listener. While it is closed, connections are refused,
   * as by a host whose process has exited.
   */
  setAccepting(isAccepting: boolean): Promise<void>;
  /**
   * Stops forwarding on all connections that are open now, permanently; new
   * connections work. Returns the number of stalled connections.
   */
  stallOpenConnections(): number;
  openConnectionsCount(): number;
  close(): void;
}

const MILLIS_PER_SECOND = 1000;

/** Source of all connections of a link without a source resolver. */
export const ANY_SOURCE = 'any';

interface Relay {
  readonly source: string;
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** The relay stays silent even if the mode of its source is `open`. */
  isStalled: boolean;
}

/** Opens a relay on a free loopback port. */
export async function createFaultyLink(
  options: FaultyLinkOptions,
): Promise<FaultyLink> {
  const {listenAddress = LOOPBACK_ADDRESS, listenPort = 0} = options;
  const modes = new Map<string, LinkMode>();
  const relays = new Set<Relay>();
  const unresolvedSockets = new Set<Socket>();
  let defaultMode: LinkMode = 'open';
  let targetPort = options.targetPort;
  let bandwidthBytesPerSecond: number | undefined;

  const modeOf = (source: string): LinkMode => modes.get(source) ?? defaultMode;

  const applyMode = (relay: Relay): void => {
    const mode = relay.isStalled ? 'silent' : modeOf(relay.source);
    if (mode === 'reset') {
      resetRelay(relay);
    } else if (mode === 'silent') {
      relay.clientSocket.pause();
      relay.targetSocket.pause();
    } else if (relay.clientSocket.destroyed || relay.targetSocket.destroyed) {
      // One side closed while the link was silent; reset the other side now.
      resetRelay(relay);
    } else {
      relay.clientSocket.resume();
      relay.targetSocket.resume();
    }
  };
  const applyModes = (): void => {
    for (const relay of [...relays]) applyMode(relay);
  };

  const openRelay = (clientSocket: Socket, source: string): void => {
    const targetSocket = connect({
      host: options.targetAddress ?? LOOPBACK_ADDRESS,
      port: targetPort,
      noDelay: true,
    });
    const relay: Relay = {source, clientSocket, targetSocket, isStalled: false};
    relays.add(relay);
    forwardData(relay, clientSocket, targetSocket);
    forwardData(relay, targetSocket, clientSocket);
    applyMode(relay);
  };

  /** Forwards one direction, and its end or error unless the link is silent. */
  const forwardData = (relay: Relay, from: Socket, to: Socket): void => {
    const write = (chunk: Buffer): void => {
      if (to.write(chunk)) return;
      from.pause();
      to.once('drain', () => {
        applyMode(relay);
      });
    };
    // A change of the mode may resume the source while a chunk is delayed; later
    // chunks wait for it, because a connection never reorders bytes.
    const delayedChunks: Buffer[] = [];
    let hasEnded = false;
    const forwardDelayed = (): void => {
      const [chunk] = delayedChunks;
      if (to.destroyed) return;
      if (chunk === undefined) {
        if (hasEnded) to.end();
        return;
      }
      from.pause();
      const transferMillis =
        bandwidthBytesPerSecond === undefined
          ? 0
          : (chunk.length * MILLIS_PER_SECOND) / bandwidthBytesPerSecond;
      setTimeout(() => {
        delayedChunks.shift();
        if (to.destroyed) return;
        applyMode(relay);
        write(chunk);
        forwardDelayed();
      }, transferMillis);
    };
    from.on('data', (chunk: Buffer) => {
      if (bandwidthBytesPerSecond === undefined && delayedChunks.length === 0) {
        write(chunk);
        return;
      }
      delayedChunks.push(chunk);
      if (delayedChunks.length === 1) forwardDelayed();
    });
    from.on('end', () => {
      hasEnded = true;
      if (delayedChunks.length === 0) to.end();
    });
    from.on('error', () => {
      // Followed by 'close', which propagates the error to the other side.
    });
    from.on('close', hadError => {
      const isSilent = relay.isStalled || modeOf(relay.source) === 'silent';
      // A silent link does not forward the end of a connection either.
      if (isSilent) return;
      relays.delete(relay);
      if (hadError) to.resetAndDestroy();
      else to.destroySoon();
    });
  };

  const resetRelay = (relay: Relay): void => {
    relays.delete(relay);
    relay.clientSocket.resetAndDestroy();
    relay.targetSocket.resetAndDestroy();
  };

  const server = createServer(
    {pauseOnConnect: true, noDelay: true},
    clientSocket => {
      unresolvedSockets.add(clientSocket);
      clientSocket.on('error', () => {
        // Followed by 'close', which is handled once the relay is open.
      });
      const resolveSource = options.resolveSource;
      const resolved =
        resolveSource === undefined
          ? Promise.resolve(ANY_SOURCE)
          : resolveSource(clientSocket.remotePort ?? 0);
      void resolved.then(source => {
        unresolvedSockets.delete(clientSocket);
        if (!clientSocket.destroyed) openRelay(clientSocket, source);
      });
    },
  );
  const port = await listen(server, listenAddress, listenPort);

  const setAccepting = async (isAccepting: boolean): Promise<void> => {
    if (isAccepting === server.listening) return;
    if (isAccepting) await listen(server, listenAddress, port);
    else server.close();
  };

  return {
    port,
    retarget: nextPort => {
      targetPort = nextPort;
    },
    setMode: (source, mode) => {
      modes.set(source, mode);
      applyModes();
    },
    setDefaultMode: mode => {
      defaultMode = mode;
      applyModes();
    },
    setBandwidth: bytesPerSecond => {
      bandwidthBytesPerSecond = bytesPerSecond;
    },
    setAccepting,
    stallOpenConnections: () => {
      for (const relay of relays) relay.isStalled = true;
      applyModes();
      return relays.size;
    },
    openConnectionsCount: () => relays.size,
    close: () => {
      if (server.listening) server.close();
      for (const relay of [...relays]) resetRelay(relay);
      for (const clientSocket of unresolvedSockets) clientSocket.destroy();
    },
  };
}
