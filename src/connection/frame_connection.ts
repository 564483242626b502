/**
 * A connection between two nodes that carries frames.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {Frame, FrameKind} from '../protocol/hop_frames.js';
import {createFrameReader, encodeFrame} from '../protocol/hop_frames.js';

/** One end of a connection. */
export interface FrameConnection {
  /** Queues a frame; frames of one event loop turn are sent together. */
  send(kind: FrameKind, channelId: number, ...parts: readonly Buffer[]): void;
  /** Sends the queued frames and ends the connection. */
  end(): void;
  /** Closes the connection immediately. */
  destroy(): void;
}

export interface FrameConnectionOptions {
  /** Called for each received chunk, before its frames. */
  readonly onDataReceived: () => void;
  readonly onFrame: (frame: Frame) => void;
  /** Called once, when the connection has closed; with the code of its system error. */
  readonly onClosed: (errorCode: string | undefined) => void;
}

/**
 * Shared read buffer of all outgoing connections; received bytes are copied.
 */
const READ_BUFFER = Buffer.allocUnsafe(65_536);

/** Opens a connection to another node; frames may be sent immediately. */
export function openFrameConnection(
  peer: Endpoint,
  options: FrameConnectionOptions & {readonly onConnected: () => void},
): FrameConnection {
  const socket = connect({
    host: peer.address,
    port: peer.port,
    noDelay: true,
    onread: {
      buffer: READ_BUFFER,
      callback: (count, buffer) => {
        receive(Buffer.from((buffer as Buffer).subarray(0, count)));
        return true;
      },
    },
  });
  socket.once('connect', options.onConnected);
  const {connection, receive} = createFrameTransport(socket, options);
  return connection;
}

/** Carries frames on a connection that another node has opened. */
export function acceptFrameConnection(
  socket: Socket,
  options: FrameConnectionOptions,
): FrameConnection {
  const {connection, receive} = createFrameTransport(socket, options);
  socket.on('data', receive);
  return connection;
}

interface FrameTransport {
  readonly connection: FrameConnection;
  /** Processes the next bytes and takes ownership of the buffer. */
  readonly receive: (chunk: Buffer) => void;
}

function createFrameTransport(
  socket: Socket,
  options: FrameConnectionOptions,
): FrameTransport {
  let queued: Buffer[] = [];
  let errorCode: string | undefined;
  let isClosed = false;

  const flush = (): void => {
    const frames = queued;
    queued = [];
    if (isClosed || frames.length === 0) return;
    const [first] = frames;
    socket.write(
      frames.length === 1 && first !== undefined
        ? first
        : Buffer.concat(frames),
    );
  };
  const reader = createFrameReader(options.onFrame);

  const receive = (chunk: Buffer): void => {
    options.onDataReceived();
    try {
      reader.push(chunk);
    } catch {
      // Bytes after an invalid frame cannot be decoded.
      socket.destroy();
    }
  };
  socket.on('error', (error: NodeJS.ErrnoException) => {
    errorCode = error.code;
  });
  socket.on('close', () => {
    isClosed = true;
    queued = [];
    options.onClosed(errorCode);
  });
  const connection: FrameConnection = {
    send: (kind, channelId, ...parts) => {
      if (isClosed) return;
      // Many responses become ready in the same turn; separate writes would
      // each cost a system call and a packet.
      if (queued.length === 0) setImmediate(flush);
      queued.push(encodeFrame(kind, channelId, parts));
    },
    end: () => {
      flush();
      socket.end();
    },
    destroy: () => {
      socket.destroy();
    },
  };
  return {connection, receive};
}
