/**
 * An upstream that records executions and answers as a test scripts it, down
 * to single bytes.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Answers one request, or fails to in the way the test is about. */
export type Script = (
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
) => void;

/** One request that reached the upstream. */
export interface Execution {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** A listening upstream. */
export interface ScriptedUpstream {
  readonly port: number;
  readonly executions: readonly Execution[];
  /** Connections whose client went away before the answer was complete. */
  cancelledCount(): number;
  setScript(script: Script): void;
  close(): Promise<void>;
}

/** Answers with the path and body of the request, so mix-ups show. */
export const echoScript: Script = (request, response, body) => {
  response.end(`${request.url ?? ''}|${body.toString('utf8')}`);
};

/** Writes raw bytes as the answer and then ends or resets the connection. */
export function rawScript(bytes: string, isReset = false): Script {
  return (_request, response) => {
    const {socket} = response;
    socket?.write(bytes, () => {
      if (isReset) socket.resetAndDestroy();
      else socket.destroy();
    });
  };
}

/** Starts an upstream on a free port. */
export async function startScriptedUpstream(
  initial: Script = echoScript,
): Promise<ScriptedUpstream> {
  const executions: Execution[] = [];
  let script = initial;
  let cancelledCount = 0;
  const server = createServer((request, response) => {
    response.on('close', () => {
      if (!response.writableEnded) cancelledCount += 1;
    });
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      executions.push({
        method: request.method ?? '',
        path: request.url ?? '',
        headers: request.headers,
        body: body.toString('utf8'),
      });
      script(request, response, body);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    executions,
    cancelledCount: () => cancelledCount,
    setScript: next => {
      script = next;
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}
