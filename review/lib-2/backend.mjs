/**
 * Stand-in of an application backend: checks the expected id, works for a time, and
 * answers with the id of the request and a signature. Records each run.
 */
import http from 'node:http';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout} from 'node:timers';

const IDLE_CLOSE_MILLIS = 10_000;

/** The body that a backend returns for a request, by which clients check it. */
export function bodyOf(attemptId, lengthBytes) {
  const line = `${attemptId} `;
  const count = Math.ceil(lengthBytes / line.length);
  return Buffer.from(line.repeat(count).slice(0, lengthBytes));
}

/**
 * Creates a backend. `workMillisOf` and `answerOf` may change during a run: `answerOf`
 * returns `undefined` for the usual answer, or writes an answer of its own to the socket.
 */
export function createBackend({id, service, slots, queueCount = 100}) {
  const runs = [];
  const sockets = new Set();
  const queued = [];
  let runningCount = 0;
  const backend = {
    id,
    service,
    runs,
    workMillisOf: () => 20,
    answerOf: () => undefined,
    bodyBytesOf: () => 200,
  };

  const finish = (request, response, attemptId, body) => {
    runningCount -= 1;
    const next = queued.shift();
    if (next !== undefined) next();
    if (response.destroyed) return;
    if (backend.answerOf({request, response, attemptId, body}) !== undefined) {
      return;
    }
    const bytes = bodyOf(attemptId, backend.bodyBytesOf(request));
    response.writeHead(200, {
      'attempt-id': attemptId,
      'response-signature': `sig.${id}`,
      'content-length': String(bytes.length),
    });
    response.end(bytes);
  };
  const run = (request, response, attemptId, body) => {
    runningCount += 1;
    runs.push({
      attemptId,
      at: Date.now(),
      method: request.method,
      target: request.url,
      callerService: request.headers['caller-service'],
      bodyBytes: body.length,
      digest: createHash('sha1').update(body).digest('hex'),
    });
    setTimeout(
      finish,
      backend.workMillisOf(request),
      request,
      response,
      attemptId,
      body,
    );
  };
  const reject = (response, statusCode, attemptId) => {
    response.writeHead(statusCode, {
      'attempt-id': attemptId,
      'not-executed': '1',
      'instance-id': id,
      'content-length': '0',
    });
    response.end();
  };
  const serve = (request, response, body) => {
    const attemptId = request.headers['attempt-id'] ?? '';
    const expected = request.headers['expect-instance'];
    if (request.url === '/healthz') {
      response.writeHead(200, {'instance-id': id, 'content-length': '0'});
      response.end();
    } else if (expected !== undefined && expected !== id) {
      reject(response, 421, attemptId);
    } else if (runningCount < slots) {
      run(request, response, attemptId, body);
    } else if (queued.length < queueCount) {
      queued.push(() => run(request, response, attemptId, body));
    } else {
      reject(response, 503, attemptId);
    }
  };
  const server = http.createServer(
    {keepAliveTimeout: IDLE_CLOSE_MILLIS, noDelay: true},
    (request, response) => {
      const parts = [];
      request.on('data', part => parts.push(part));
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('end', () => serve(request, response, Buffer.concat(parts)));
    },
  );
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  backend.listen = (port, ip) =>
    new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, ip, resolve);
    });
  /** The backend crashes: its connections are reset and its port is closed. */
  backend.crash = () => {
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  };
  return backend;
}
