/**
 * HTTP as raw bytes on one connection, for requests no client would send.
 */
import {once} from 'node:events';
import * as net from 'node:net';

/** What came back until the other side closed the connection. */
export interface RawAnswer {
  readonly statusCode: number;
  /** Header lines in lower case. */
  readonly headers: readonly string[];
  readonly body: string;
}

/** Sends bytes and reads one answer; the connection must then be closed. */
export async function sendRaw(port: number, bytes: string): Promise<RawAnswer> {
  const socket = net.connect({host: '127.0.0.1', port});
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  // A reset after the answer is as good as an end.
  socket.on('error', () => undefined);
  socket.write(bytes);
  await once(socket, 'close');
  const [head = '', ...rest] = Buffer.concat(chunks)
    .toString('utf8')
    .split('\r\n\r\n');
  const [statusLine = '', ...headers] = head.split('\r\n');
  return {
    statusCode: Number(statusLine.split(' ')[1]),
    headers: headers.map(line => line.toLowerCase()),
    body: rest.join('\r\n\r\n'),
  };
}
