/**
 * Stand-ins of the platform's store, of application backends, of clients and of
 * a network link.
 */
/* global Buffer, URL, clearTimeout, performance, setTimeout */
import {createHash} from 'node:crypto';
import http from 'node:http';
import {connect, createServer} from 'node:net';

/** Store that holds the operator's configuration and the backends' entries. */
export function startStore({network}) {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 100;

  const publishChange = change => {
    revision += 1;
    const event = {...change, rev: revision};
    if (event.deleted) items.delete(event.key);
    else items.set(event.key, event);
    history.push(event);
    for (const wake of [...waiting]) wake();
  };
  const put = (key, value) => {
    const bytes = Buffer.from(JSON.stringify(value)).toString('base64');
    publishChange({key, value: bytes, created: revision + 1, lease: 0});
  };
  const sendJson = (response, body) => {
    response.writeHead(200, {
      'content-type': 'application/json',
      'store-era': '1',
    });
    response.end(JSON.stringify(body));
  };
  const watch = (query, response) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const pending = () =>
      history.filter(({key, rev}) => rev > after && key.startsWith(prefix));
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(wake);
      sendJson(response, {events: pending(), atRev: revision});
    };
    const wake = () => {
      if (pending().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('waitMs')));
    response.once('close', () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    waiting.add(wake);
    wake();
  };
  const server = http.createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/kv-watch') {
      watch(query, response);
      return;
    }
    if (url.pathname === '/kv-range') {
      const prefix = query.get('prefix') ?? '';
      const found = [...items.values()].filter(({key}) =>
        key.startsWith(prefix),
      );
      sendJson(response, {items: found, hasMore: false, atRev: revision});
      return;
    }
    response.writeHead(404, {'content-length': '0'}).end();
  });
  return new Promise(resolve => {
    server.listen(network.ports.store, network.address(250), () => {
      resolve({
        put,
        remove: key => publishChange({key, deleted: true}),
      });
    });
  });
}

/** Entry of a backend in the store. */
export function backendEntry(network, machine) {
  return {
    address: `${network.address(machine.host)}:${String(network.ports.app)}`,
    born: machine.bornMillis,
    info: {
      service: machine.service,
      version: 'v1',
      zone: machine.zone ?? 'ibd-a',
      slots: machine.slots ?? 100,
    },
    status: {state: 'ready', seq: 1, coldLeftS: 0},
  };
}

/** Configuration with one route for each service. */
export function configuration(routes) {
  return {
    version: '00000007',
    services: [...new Set(routes.map(({service}) => service))].map(name => ({
      name,
      healthPath: '/healthz',
      maxConns: 826,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
    virtualHosts: routes.map(route => ({
      host: `${route.service}.example`,
      paths: [
        {
          name: `r-${route.service}`,
          prefix: `/${route.service}/`,
          kind: route.kind,
          timeoutS: route.timeoutS,
          sloS: route.sloS,
          priority: 0,
          service: route.service,
          maxAttempts: 2,
        },
      ],
    })),
  };
}

export function digestOf(bytes) {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/**
 * Backend that reads a request to its end, works, and answers. `respond` sends
 * the answer; by default a small one with a length. `onRun` is called when the
 * backend begins to work on a request.
 */
export function startBackend({network}, machine, {respond, onRun, workMillis}) {
  const server = http.createServer((request, response) => {
    if (request.url === '/healthz') {
      response.writeHead(200, {
        'instance-id': machine.id,
        'content-length': '0',
      });
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      const attemptId = request.headers['attempt-id'];
      const expected = request.headers['expect-instance'];
      if (expected !== undefined && expected !== machine.id) {
        response.writeHead(421, {
          'attempt-id': attemptId ?? '',
          'instance-id': machine.id,
          'content-length': '0',
        });
        response.end();
        return;
      }
      onRun?.({attemptId, body, request, machine});
      setTimeout(() => {
        if (response.destroyed) return;
        (respond ?? respondSmall)(request, response, attemptId);
      }, workMillis);
    });
  });
  server.keepAliveTimeout = 10_000;
  return new Promise(resolve => {
    server.listen(network.ports.app, network.address(machine.host), () => {
      resolve(server);
    });
  });
}

/** Sends a small answer with a length. */
export function respondSmall(request, response, attemptId) {
  const body = `done ${attemptId}`;
  response.writeHead(200, {
    'attempt-id': attemptId,
    'response-signature': digestOf(body),
    'content-length': String(body.length),
  });
  response.end(body);
}

let requestsCount = 0;

export function createAttemptId() {
  requestsCount += 1;
  const random = Math.floor(Math.random() * 2 ** 32);
  return (
    random.toString(16).padStart(8, '0') +
    requestsCount.toString(16).padStart(8, '0')
  );
}

/**
 * Sends one request from a client of a machine and returns how it ended. A new
 * connection is used for each request.
 */
export function sendRequest(
  {network},
  {machine, service, method, body, attemptId, timeoutMillis},
) {
  return new Promise(resolve => {
    const request = http.request({
      agent: false,
      host: network.address(machine.host),
      port: network.ports.outbound,
      method,
      path: `/${service}/2f`,
      headers: {
        host: `${service}.example`,
        'attempt-id': attemptId,
        'timeout-ms': String(timeoutMillis),
        'content-length': String(body?.length ?? 0),
      },
    });
    const timer = setTimeout(() => {
      resolve({kind: 'no answer'});
      request.destroy();
    }, timeoutMillis + 1000);
    const finish = result => {
      clearTimeout(timer);
      resolve(result);
    };
    request.once('error', error => finish({kind: 'closed', error}));
    request.once('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.once('error', error => finish({kind: 'cut', error}));
      response.once('end', () => {
        finish({
          kind: response.complete ? 'answered' : 'cut',
          statusCode: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    request.end(body);
  });
}

/** Bytes that a link holds for one connection before it stops reading. */
const LINK_WINDOW_BYTES = 65_536;

/** Bytes that a link forwards at a time, so that its connections take turns. */
const LINK_PIECE_BYTES = 4096;

/**
 * Link of one machine for the connections that other nodes open to its node.
 * It forwards all bytes in order and delays them to keep its rate.
 */
export function startLink({network}, machine) {
  let bytesPerMilli = Infinity;
  const createLane = () => {
    let freeAtMillis = 0;
    return bytes => {
      const now = performance.now();
      freeAtMillis = Math.max(now, freeAtMillis) + bytes / bytesPerMilli;
      return freeAtMillis - now;
    };
  };
  const toMachine = createLane();
  const fromMachine = createLane();
  const server = createServer({allowHalfOpen: true, noDelay: true}, socket => {
    const other = connect({
      host: network.address(machine.inboundHost),
      port: network.ports.inbound,
      allowHalfOpen: true,
      noDelay: true,
    });
    carry(socket, other, toMachine);
    carry(other, socket, fromMachine);
  });
  const link = {
    setRate: megabitsPerSecond => {
      bytesPerMilli = (megabitsPerSecond * 1_000_000) / 8 / 1000;
    },
  };
  return new Promise(resolve => {
    server.listen(network.ports.inbound, network.address(machine.host), () => {
      resolve(link);
    });
  });
}

/** Forwards what one side sends to the other, in pieces that take their time. */
function carry(from, to, lane) {
  const pieces = [];
  let heldBytes = 0;
  let isSending = false;
  let hasEnded = false;
  const sendNext = () => {
    const piece = pieces.shift();
    if (piece === undefined) {
      isSending = false;
      if (hasEnded && !to.destroyed) to.end();
      return;
    }
    isSending = true;
    const delayMillis = lane(piece.length);
    const forward = () => {
      heldBytes -= piece.length;
      if (heldBytes < LINK_WINDOW_BYTES) from.resume();
      if (!to.destroyed) to.write(piece);
      sendNext();
    };
    if (delayMillis < 1) forward();
    else setTimeout(forward, delayMillis);
  };
  from.on('data', chunk => {
    for (let at = 0; at < chunk.length; at += LINK_PIECE_BYTES) {
      pieces.push(chunk.subarray(at, at + LINK_PIECE_BYTES));
    }
    heldBytes += chunk.length;
    if (heldBytes >= LINK_WINDOW_BYTES) from.pause();
    if (!isSending) sendNext();
  });
  from.on('end', () => {
    hasEnded = true;
    if (!isSending) sendNext();
  });
  from.on('error', () => {
    to.destroy();
  });
  from.on('close', () => {
    if (!hasEnded) to.destroy();
  });
}
