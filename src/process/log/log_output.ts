/**
 * Standard output for log lines, written without ever waiting for its reader.
 */
import {fstatSync, write} from 'node:fs';
import {Socket} from 'node:net';

/** Takes lines, and drops them while its reader is behind. */
export interface LogOutput {
  write(line: string): void;
  /** Lines dropped since the process began. */
  readonly droppedCount: number;
}

const STANDARD_OUTPUT = 1;

/** Most that waits in memory for a slow reader: some thousand lines. */
const BUFFER_BYTES = 512 * 1024;

/** Lines are gathered for this long, so that a busy node writes once. */
const GATHER_MILLIS = 50;

type Sink = (bytes: Buffer, done: () => void) => void;

/**
 * Opens standard output. Writes to a pipe block in Node.js' own stream: a
 * stopped reader would stop the node.
 */
export function openLogOutput(): LogOutput {
  const sink = openSink();
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let writingBytes = 0;
  let droppedCount = 0;
  let timer: NodeJS.Timeout | undefined;

  const flush = (): void => {
    timer = undefined;
    if (writingBytes > 0 || pending.length === 0) return;
    const bytes = Buffer.concat(pending);
    pending = [];
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
      if (pendingBytes + writingBytes + bytes.length > BUFFER_BYTES) {
        droppedCount += 1;
        return;
      }
      pending.push(bytes);
      pendingBytes += bytes.length;
      timer ??= setTimeout(flush, GATHER_MILLIS).unref();
    },
  };
}

function openSink(): Sink {
  const kind = fstatSync(STANDARD_OUTPUT);
  if (kind.isFIFO() || kind.isSocket()) return openSocketSink();
  return writeToFile;
}

function openSocketSink(): Sink {
  const socket = new Socket({
    fd: STANDARD_OUTPUT,
    readable: false,
    writable: true,
  });
  socket.unref();
  // A reader of the log that went away must not end a node that serves.
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
  write(STANDARD_OUTPUT, bytes, done);
}
