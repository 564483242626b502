/**
 * A TCP relay in front of one listener that can lose track of connections: cut
 * off chosen sources, fall silent and heal.
 */
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {LOOPBACK_ADDRESS, listen} from './http_support.js';

/** What a link does with the connections of a source. */
export type LinkMode =
  | 'open'
  /** Accepts and keeps connections, carries nothing, closes nothing. */
  | 'silent'
  /** Resets connections. */
  | 'reset';

/** Tells which source a connection comes from, by its remote port. */
export type SourceResolver = (remotePort: number) => Promise<string>;

/** Where a link leads and who uses it. */
export interface FaultyLinkOptions {
  readonly targetAddress?: string | undefined;
  /** Changed by `retarget` when the listener behind it moves. */
  readonly targetPort: number;
  /** Without it every connection has the source `any`. */
  readonly resolveSource?: SourceResolver | undefined;
}

/** A running relay. */
export interface FaultyLink {
  /** Port that clients connect to. */
  readonly port: number;
  retarget(port: number): void;
  /** Sets the mode for one source, existing and new connections alike. */
  setMode(source: string, mode: LinkMode): void;
  /** Sets the mode for sources without one of their own. */
  setDefaultMode(mode: LinkMode): void;
  /**
   * Bounds what each connection carries in each direction, from its next bytes on;
   * without a figure there is no bound.
   */
  setBandwidth(bytesPerSecond: number | undefined): void;
  /**
   * Opens or closes the listener. Without one, connecting is refused, as it is
   * by a host whose process has ended.
   */
  setAccepting(isAccepting: boolean): Promise<void>;
  /** Silences all connections open now, for good; new ones work. */
  stallOpenConnections(): number;
  openConnectionsCount(): number;
  close(): void;
}

const MILLIS_PER_SECOND = 1000;

/** Source of connections that nothing tells apart. */
export const ANY_SOURCE = 'any';

interface Relay {
  readonly source: string;
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** Stays silent even after the link healed. */
  isStalled: boolean;
}

/** Opens a relay on a free loopback port. */
export async function createFaultyLink(
  options: FaultyLinkOptions,
): Promise<FaultyLink> {
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
      // One side ended while the link was silent; now the other learns it.
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

  /** Carries one direction; an end or error passes on unless silent. */
  const forwardData = (relay: Relay, from: Socket, to: Socket): void => {
    const write = (chunk: Buffer): void => {
      if (to.write(chunk)) return;
      from.pause();
      to.once('drain', () => {
        applyMode(relay);
      });
    };
    from.on('data', (chunk: Buffer) => {
      if (bandwidthBytesPerSecond === undefined) {
        write(chunk);
        return;
      }
      from.pause();
      const transferMillis =
        (chunk.length * MILLIS_PER_SECOND) / bandwidthBytesPerSecond;
      setTimeout(() => {
        if (to.destroyed) return;
        applyMode(relay);
        write(chunk);
      }, transferMillis);
    });
    from.on('end', () => to.end());
    from.on('error', () => {
      // Ends in 'close', which decides what the other side learns.
    });
    from.on('close', hadError => {
      const isSilent = relay.isStalled || modeOf(relay.source) === 'silent';
      // Whoever lost track of a connection does not tell of its end either.
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
        // Handled by 'close' once relayed.
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
  const port = await listen(server, LOOPBACK_ADDRESS, 0);

  const setAccepting = async (isAccepting: boolean): Promise<void> => {
    if (isAccepting === server.listening) return;
    if (isAccepting) await listen(server, LOOPBACK_ADDRESS, port);
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
      for (const near of unresolvedSockets) near.destroy();
    },
  };
}
