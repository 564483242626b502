/**
 * One HTTP/2 connection to the control listener of a peer.
 */
import type {
  ClientHttp2Session,
  ClientHttp2Stream,
  OutgoingHttpHeaders,
} from 'node:http2';
import {connect, constants} from 'node:http2';
import {TransportError} from '../base/errors.js';
import type {Disposable, DisposableStore} from '../base/lifecycle.js';
import {
  createDisposableStore,
  createIntervalTimer,
  createTimeoutTimer,
} from '../base/lifecycle.js';
import type {Metrics} from '../process/metrics.js';

const PING_INTERVAL_MILLIS = 2_000;
const IDLE_MILLIS = 10_000;

/** The connection as the transport of connect-es uses it. */
export interface ControlSession extends Disposable {
  readonly authority: string;
  /** Sends the head of a request; opens the connection if there is none. */
  request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
  ): Promise<ClientHttp2Stream>;
  /** Called by the transport after every read. */
  notifyResponseByteRead(): void;
}

/** What belongs to one open connection. */
interface OpenSession {
  readonly http2: ClientHttp2Session;
  readonly resources: DisposableStore;
  streamsCount: number;
  /** Whether bytes were read since the latest look. */
  isAlive: boolean;
  idleTimer: Disposable | undefined;
}

/**
 * Creates a session that is opened by its first request.
 *
 * The session manager that comes with connect-node is not used: it takes its
 * error listener off a broken connection before the error is raised. A peer
 * port that answered something other than HTTP/2 then ended the whole process.
 */
export function createControlSession(
  url: string,
  metrics: Metrics,
): ControlSession {
  const authority = new URL(url).origin;
  let current: OpenSession | undefined;
  let isDisposed = false;

  function open(): OpenSession {
    const http2 = connect(authority);
    const resources = createDisposableStore();
    const session: OpenSession = {
      http2,
      resources,
      streamsCount: 0,
      isAlive: true,
      idleTimer: undefined,
    };
    // Stays for good: an error without a listener ends the process.
    http2.on('error', () => {
      metrics.increment('control.connection_errors');
    });
    http2.once('close', () => {
      resources.dispose();
      if (current === session) current = undefined;
    });
    resources.add(
      createIntervalTimer(PING_INTERVAL_MILLIS, createPing(session)),
    );
    return session;
  }

  function send(headers: OutgoingHttpHeaders): ClientHttp2Stream {
    const isBroken = current?.http2.closed ?? true;
    const session = current === undefined || isBroken ? open() : current;
    current = session;
    const stream = session.http2.request(headers);
    trackStream(session, stream);
    return stream;
  }

  return {
    authority,
    request: (method, path, headers) => {
      const head = {
        ...headers,
        [constants.HTTP2_HEADER_METHOD]: method,
        [constants.HTTP2_HEADER_PATH]: path,
      };
      return new Promise((resolve, reject) => {
        if (isDisposed) reject(closedError(authority));
        else resolve(send(head));
      });
    },
    notifyResponseByteRead: () => {
      if (current !== undefined) current.isAlive = true;
    },
    dispose: () => {
      isDisposed = true;
      current?.resources.dispose();
      current?.http2.destroy();
      current = undefined;
    },
  };
}

function closedError(authority: string): Error {
  return new TransportError('The connection was closed.', {
    props: {step: 'connect', peer: authority},
  });
}

/**
 * Pings a connection on which nothing was read lately, and gives it up if that
 * is not answered. A connection that something between the ends has lost track
 * of shows no error; its calls merely time out, one after the other.
 */
function createPing(session: OpenSession): () => void {
  const {http2} = session;
  let isWaiting = false;
  return () => {
    if (http2.connecting || http2.destroyed) return;
    if (session.isAlive) {
      session.isAlive = false;
      isWaiting = false;
      return;
    }
    if (isWaiting) {
      http2.destroy(new Error('A ping was not answered.'));
      return;
    }
    isWaiting = true;
    http2.ping(error => {
      if (error === null) session.isAlive = true;
    });
  };
}

/** Closes the connection some time after its last stream has ended. */
function trackStream(session: OpenSession, stream: ClientHttp2Stream): void {
  session.streamsCount += 1;
  if (session.idleTimer !== undefined) {
    session.resources.delete(session.idleTimer);
    session.idleTimer = undefined;
  }
  stream.once('close', () => {
    session.streamsCount -= 1;
    if (session.streamsCount > 0 || session.resources.isDisposed) return;
    session.idleTimer = session.resources.add(
      createTimeoutTimer(IDLE_MILLIS, () => {
        session.http2.close();
      }),
    );
  });
}
