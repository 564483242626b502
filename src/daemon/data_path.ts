/**
 * The listeners of the path of requests, opened and closed in order.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore} from '../base/lifecycle.js';
import {waitUntil} from '../base/wait_until.js';
import type {
  HttpListener,
  HttpListenerOptions,
  MalformedKind,
} from '../connection/http_listener.js';
import {openHttpListener} from '../connection/http_listener.js';
import type {ListenAddress} from '../process/settings.js';
import {rawFailureAnswer} from '../request/entry_answer.js';
import {rejectEntry} from '../request/entry_request.js';
import type {DataPathOptions} from './data_path_parts.js';
import {createDataPathParts} from './data_path_parts.js';

/** The open data path of a node. */
export interface DataPath extends Disposable {
  readonly callerPort: number;
  readonly localPort: number;
  readonly peerPort: number;
  /**
   * Refuses new calls to the local upstream and asks clients on open
   * connections to go elsewhere after their answer.
   */
  startDraining(): void;
  /** Refuses queued calls whose deadline passed, as after a pause. */
  dropExpired(): void;
  /** Stops accepting callers and waits for their answers. */
  closeCallers(graceMillis: number): Promise<void>;
  /** Waits until the local upstream executes nothing. */
  awaitExecutions(graceMillis: number): Promise<void>;
  /** Closes all listeners that are still open. */
  close(): Promise<void>;
}

/** Opens the listeners; on failure everything opened is closed again. */
export async function openDataPath(
  options: DataPathOptions,
): Promise<DataPath> {
  const {settings} = options;
  const store = createDisposableStore();
  const parts = createDataPathParts(options, store);
  const listeners = new Set<HttpListener>();
  const open = async (
    name: string,
    listen: ListenAddress,
    connectionsCount: number,
    handle: HttpListenerOptions['handle'],
  ): Promise<HttpListener> => {
    const listener = await openHttpListener({
      name,
      listen,
      connectionsCount,
      headerBytes: settings.limits.headerBytes,
      idleMillis: settings.limits.idleConnectionMillis,
      metrics: options.metrics,
      handle,
      describeMalformed: kind => describeMalformed(kind, settings.hostName),
    });
    listeners.add(listener);
    return listener;
  };
  const close = async (
    listener: HttpListener,
    graceMillis: number,
  ): Promise<void> => {
    if (listeners.delete(listener)) await listener.close(graceMillis);
  };
  const closeAll = async (): Promise<void> => {
    await Promise.all([...listeners].map(listener => close(listener, 0)));
  };
  const {callerConnectionsCount, peerConnectionsCount} = settings.limits;
  try {
    const caller = await open(
      'caller',
      settings.listen.caller,
      callerConnectionsCount,
      parts.entry.handleCaller,
    );
    const local = await open(
      'local',
      settings.listen.local,
      callerConnectionsCount,
      parts.entry.handleLocal,
    );
    const peer = await open(
      'peer',
      settings.listen.peer,
      peerConnectionsCount,
      parts.peerEntry.handle,
    );
    return {
      callerPort: caller.port,
      localPort: local.port,
      peerPort: peer.port,
      startDraining: () => {
        parts.admission.startDraining();
        for (const listener of listeners) listener.startDraining();
      },
      dropExpired: () => {
        parts.admission.dropExpired();
      },
      closeCallers: graceMillis => close(caller, graceMillis),
      awaitExecutions: graceMillis =>
        waitUntil(() => parts.executingCount() === 0, graceMillis),
      close: closeAll,
      dispose: () => {
        store.dispose();
      },
    };
  } catch (error) {
    await closeAll();
    store.dispose();
    throw error;
  }
}

function describeMalformed(kind: MalformedKind, hostName: string): string {
  const {failure} = rejectEntry(
    'malformed-request',
    `The input is no valid HTTP/1.1 request (${kind}).`,
    hostName,
  );
  return rawFailureAnswer(failure);
}
