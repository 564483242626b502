/**
 * HTTP client of a fleet on the platform; opens a connection for each request.
 */
import http from 'node:http';

export interface ClientRequest {
  readonly attemptId: string;
  readonly method?: string;
  readonly path: string;
  readonly timeoutMillis?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface ClientResponse {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** The connection was closed before the end of the response. */
  readonly isIncomplete: boolean;
}

/** Host name of all routes. */
export const FLEET_HOST_NAME = 'shop.example';

/** Sends a request to a node; rejects if no response begins. */
export function sendRequest(
  address: string,
  port: number,
  request: ClientRequest,
): Promise<ClientResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      host: address,
      port,
      method: request.method ?? 'GET',
      path: request.path,
      agent: false,
      headers: {
        host: FLEET_HOST_NAME,
        'attempt-id': request.attemptId,
        'timeout-ms': String(request.timeoutMillis ?? 10_000),
        ...request.headers,
      },
    });
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      const chunks: Buffer[] = [];
      const finish = (): void => {
        resolve({
          statusCode: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          isIncomplete: !response.complete,
        });
      };
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', finish);
      response.on('end', finish);
    });
    outgoing.end(request.body);
  });
}
