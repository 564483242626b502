/**
 * Stand-in of a client with a kept connection, which sends one request at a time.
 */
import http from 'node:http';
import {randomBytes} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';

/** Time beyond its deadline for which a client listens for a late answer. */
const LATE_MILLIS = 3000;

export function newAttemptId() {
  return randomBytes(8).toString('hex');
}

export function createClient({ip, port}) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  return {
    /**
     * Sends a request; resolves with its status, or how it ended without one. The client
     * waits for `timeoutMillis`, and closes the connection `lateMillis` after that.
     */
    send: ({
      method = 'GET',
      path,
      body = '',
      timeoutMillis = 5000,
      lateMillis = LATE_MILLIS,
    }) =>
      new Promise(resolve => {
        const attemptId = newAttemptId();
        const sentMillis = Date.now();
        const end = result => {
          clearTimeout(timer);
          const tookMillis = Date.now() - sentMillis;
          resolve({attemptId, sentMillis, tookMillis, ...result});
        };
        const headers = {
          host: 'site.example',
          'attempt-id': attemptId,
          'timeout-ms': String(timeoutMillis),
        };
        if (method === 'POST') headers['content-length'] = String(body.length);
        const request = http.request(
          {agent, host: ip, port, method, path, headers},
          response => {
            const parts = [];
            response.on('data', part => parts.push(part));
            response.on('error', () => end({kind: 'cut'}));
            response.on('end', () => {
              const {statusCode} = response;
              const bytes = Buffer.concat(parts);
              const signature = response.headers['response-signature'];
              const kind = response.complete ? 'answered' : 'cut';
              end({kind, statusCode, bytes, signature});
            });
          },
        );
        const timer = setTimeout(() => {
          end({kind: 'unanswered'});
          request.destroy();
        }, timeoutMillis + lateMillis);
        request.on('error', error => {
          const kind = request.reusedSocket ? 'closed-kept' : 'closed-new';
          end({kind, reason: error.code ?? error.message});
        });
        request.end(body);
      }),
    close: () => agent.destroy(),
  };
}
