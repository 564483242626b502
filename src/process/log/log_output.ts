/**
 * Non-blocking standard output for log lines.
 */
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';

/** Writes lines, and drops them while the reader is too slow. */
export interface LogOutput {
  write(line: string): void;
  /** Lines dropped since the process started. */
  readonly droppedCount: number;
}

const STDOUT_FD = 1;

/** Maximum buffer for a slow reader: a few thousand lines. */
const MAX_BUFFER_BYTES = 512 * 1024;

/** Batching delay, so that a busy node makes one write for many lines. */
const FLUSH_DELAY_MILLIS = 50;

type Sink = (bytes: Buffer, done: () => void) => void;

/**
 * Opens standard output. The built-in stream of Node.js blocks on writes to a
 * pipe, so a stalled reader would stall the node.
 */
export function openLogOutput(): LogOutput {
  const sink = openSink();
  let pendingLines: Buffer[] = [];
  let pendingBytes = 0;
  let writingBytes = 0;
  let droppedCount = 0;
  let timer: NodeJS.Timeout | undefined;

  const flush = (): void => {
    timer = undefined;
    if (writingBytes > 0 || pendingLines.length === 0) return;
    const bytes = Buffer.concat(pendingLines);
    pendingLines = [];
    pendingBytes = 0;
    writingBytes = bytes.length;
    sink(bytes, () => {
      writingBytes = 0;
      flush();
    });
  };

  return {
    get droppedCount() {
      return droppedCount;
    },
    write: line => {
      const bytes = Buffer.from(line);
      if (pendingBytes + writingBytes + bytes.length > MAX_BUFFER_BYTES) {
        droppedCount += 1;
        return;
      }
      pendingLines.push(bytes);
      pendingBytes += bytes.length;
      timer ??= setTimeout(flush, FLUSH_DELAY_MILLIS).unref();
    },
  };
}

function openSink(): Sink {
  const stats = fstatSync(STDOUT_FD);
  if (stats.isFIFO() || stats.isSocket()) return openSocketSink();
  return writeToFile;
}

function openSocketSink(): Sink {
  const socket = new Socket({
    fd: STDOUT_FD,
    readable: false,
    writable: true,
  });
  socket.unref();
  // A reader that closes the pipe must not terminate the node.
  socket.on('error', () => undefined);
  return (bytes, done) => {
    if (socket.destroyed) {
      done();
      return;
    }
    socket.write(bytes, () => {
      done();
    });
  };
}

function writeToFile(bytes: Buffer, done: () => void): void {
  write(STDOUT_FD, bytes, done);
}
