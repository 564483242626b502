/**
 * Limits the bytes of a chunked response that are not part of its body.
 *
 * The parser limits header fields, extensions and trailers, but not the digits
 * of a chunk size: a faulty upstream that sends them without end would keep
 * its slot and this process busy until the deadline.
 */
import type {IncomingMessage} from 'node:http';

/** Bytes besides the body that any response may have. */
const ALLOWED_OVERHEAD_BYTES = 65_536;

/** Further bytes for each byte of the body; a chunk of one byte has five. */
const OVERHEAD_PER_BODY_BYTE = 16;

/** Calls `onExceeded` once a chunked response exceeds the limit. */
export function limitChunkOverhead(
  message: IncomingMessage,
  onExceeded: () => void,
): void {
  const {socket} = message;
  const bytesBefore = socket.bytesRead;
  let readBodyBytes = 0;
  const check = (): void => {
    const bodyBytes = readBodyBytes + message.readableLength;
    const overheadBytes = socket.bytesRead - bytesBefore - bodyBytes;
    const allowedBytes =
      ALLOWED_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * bodyBytes;
    if (overheadBytes <= allowedBytes) return;
    stop();
    onExceeded();
  };
  const stop = (): void => {
    socket.removeListener('data', check);
  };
  message.on('data', (chunk: Buffer) => {
    readBodyBytes += chunk.length;
  });
  socket.on('data', check);
  message.once('end', stop);
  message.once('close', stop);
}
