/**
 * Fake of the platform's metadata store: reads by prefix, watches, and the faults that
 * the store is known for.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How the store responds to calls. */
export type StoreMode = 'healthy' | 'busy' | 'silent' | 'reset';

/** A port of the store with its own mode, so that it can fail for some callers only. */
export interface StoreEndpoint {
  readonly port: number;
  setMode(mode: StoreMode): void;
}

/** State of the store at one time. */
export interface StoreSnapshot {
  readonly items: ReadonlyMap<string, Change>;
  readonly history: readonly Change[];
  readonly oldestRevision: number;
  readonly revision: number;
}

export interface FakeStore {
  /** Number of calls received so far. */
  readonly callsCount: number;
  /** Revision of the last change. */
  readonly revision: number;
  openEndpoint(): Promise<StoreEndpoint>;
  put(key: string, value: object): void;
  /** Writes a value as it is, which may be invalid base64. */
  putRaw(key: string, text: string | undefined): void;
  remove(key: string): void;
  /** Sets the mode of all endpoints. */
  setMode(mode: StoreMode): void;
  /** Discards the history: watches from earlier revisions get 410. */
  compact(): void;
  takeSnapshot(): StoreSnapshot;
  /**
   * Restores a snapshot. Later writes are lost, and their revisions are assigned again.
   */
  restore(snapshot: StoreSnapshot): void;
  /** Calls the listener once, when the second page of a range is requested. */
  onSecondPage(listener: () => void): void;
  /**
   * Delays the 410 responses to the next `count` watches from before the history until
   * their wait is over.
   */
  delayHistoryLost(count: number): void;
  /** Longest such wait that got its response; 0 if none did. */
  readonly longestDelayMillis: number;
  /** Sets the number of items in a page of a range. */
  setPageSize(count: number): void;
  close(): void;
}

interface Change {
  readonly key: string;
  readonly rev: number;
  readonly value?: string | undefined;
  readonly created?: number;
  readonly lease?: number;
  readonly deleted?: true;
}

interface Watch {
  readonly endpoint: Endpoint;
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
}

interface Endpoint {
  readonly server: Server;
  mode: StoreMode;
}

const DEFAULT_PAGE_ITEMS = 500;

/** Creates a store without items and endpoints. */
export function createFakeStore(): FakeStore {
  const endpoints: Endpoint[] = [];
  let items = new Map<string, Change>();
  let history: Change[] = [];
  let oldestRevision = 0;
  let revision = 100;
  let era = 1;
  let secondPageListener: (() => void) | undefined;
  let callsCount = 0;
  let delayedWatchesCount = 0;
  let longestDelayMillis = 0;
  let pageItemsCount = DEFAULT_PAGE_ITEMS;
  const watches = new Set<Watch>();

  const sendJson = (
    response: ServerResponse,
    statusCode: number,
    body: object,
  ): void => {
    response.writeHead(statusCode, {
      'content-type': 'application/json',
      'store-era': String(era),
    });
    response.end(JSON.stringify(body));
  };

  const closeWatches = (isAffected: (watch: Watch) => boolean): void => {
    for (const pending of [...watches].filter(isAffected)) {
      watches.delete(pending);
      pending.response.destroy();
    }
  };

  const record = (change: Change): void => {
    history.push(change);
    for (const watch of [...watches]) {
      if (!change.key.startsWith(watch.prefix)) continue;
      watches.delete(watch);
      sendJson(watch.response, 200, {events: [change], atRev: revision});
    }
  };

  const range = (query: URLSearchParams, response: ServerResponse): void => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    if (after !== '') {
      secondPageListener?.();
      secondPageListener = undefined;
    }
    const found = [...items.values()]
      .filter(item => item.key.startsWith(prefix) && item.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(response, 200, {
      items: found.slice(0, pageItemsCount),
      hasMore: found.length > pageItemsCount,
      atRev: revision,
    });
  };

  const delayHistoryLostResponse = (
    query: URLSearchParams,
    response: ServerResponse,
  ): void => {
    delayedWatchesCount -= 1;
    const waitMillis = parseWaitMillis(query);
    const timer = setTimeout(() => {
      longestDelayMillis = Math.max(longestDelayMillis, waitMillis);
      sendJson(response, 410, {error: 'history'});
    }, waitMillis);
    response.on('close', () => {
      clearTimeout(timer);
    });
  };

  const watch = (
    endpoint: Endpoint,
    query: URLSearchParams,
    response: ServerResponse,
  ): void => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    if (after > revision) {
      sendJson(response, 410, {error: 'no such revision'});
      return;
    }
    if (after < oldestRevision) {
      if (delayedWatchesCount > 0) delayHistoryLostResponse(query, response);
      else sendJson(response, 410, {error: 'history'});
      return;
    }
    const events = history.filter(
      change => change.rev > after && change.key.startsWith(prefix),
    );
    if (events.length > 0) {
      sendJson(response, 200, {events, atRev: revision});
      return;
    }
    const pending: Watch = {endpoint, prefix, after, response};
    watches.add(pending);
    const timer = setTimeout(() => {
      if (!watches.delete(pending)) return;
      sendJson(response, 200, {events: [], atRev: revision});
    }, parseWaitMillis(query));
    timer.unref();
    response.on('close', () => {
      clearTimeout(timer);
      watches.delete(pending);
    });
  };

  const handle = (
    endpoint: Endpoint,
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    const {mode} = endpoint;
    callsCount += 1;
    if (mode === 'silent') return;
    if (mode === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (mode === 'busy') {
      sendJson(response, 503, {error: 'busy'});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/kv-range') range(query, response);
    else if (url.pathname === '/kv-watch') watch(endpoint, query, response);
    else sendJson(response, 404, {error: 'unknown'});
  };

  const setMode = (endpoint: Endpoint, mode: StoreMode): void => {
    endpoint.mode = mode;
    if (mode !== 'healthy') closeWatches(call => call.endpoint === endpoint);
  };

  const openEndpoint = async (): Promise<StoreEndpoint> => {
    const server = createServer((request, response) => {
      handle(endpoint, request, response);
    });
    const endpoint: Endpoint = {server, mode: 'healthy'};
    endpoints.push(endpoint);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return {
      port: (server.address() as AddressInfo).port,
      setMode: mode => {
        setMode(endpoint, mode);
      },
    };
  };

  const putRaw = (key: string, value: string | undefined): void => {
    revision += 1;
    const change: Change = {
      key,
      rev: revision,
      created: items.get(key)?.created ?? revision,
      lease: 0,
      value,
    };
    items.set(key, change);
    record(change);
  };

  return {
    get callsCount() {
      return callsCount;
    },
    get revision() {
      return revision;
    },
    openEndpoint,
    put: (key, value) => {
      putRaw(key, encodeBase64(JSON.stringify(value)));
    },
    putRaw,
    remove: key => {
      revision += 1;
      items.delete(key);
      record({key, rev: revision, deleted: true});
    },
    setMode: mode => {
      for (const endpoint of endpoints) setMode(endpoint, mode);
    },
    compact: () => {
      history = [];
      oldestRevision = revision;
      closeWatches(() => true);
    },
    takeSnapshot: () => ({
      items: new Map(items),
      history: [...history],
      oldestRevision,
      revision,
    }),
    restore: snapshot => {
      items = new Map(snapshot.items);
      history = [...snapshot.history];
      ({oldestRevision, revision} = snapshot);
      era += 1;
      closeWatches(() => true);
    },
    onSecondPage: listener => {
      secondPageListener = listener;
    },
    delayHistoryLost: count => {
      delayedWatchesCount = count;
    },
    get longestDelayMillis() {
      return longestDelayMillis;
    },
    setPageSize: count => {
      pageItemsCount = count;
    },
    close: () => {
      for (const {server} of endpoints) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}

/** Encodes a text in the store's format for values. */
export function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

/** Like the platform's store, does not wait if the wait is not a whole number. */
function parseWaitMillis(query: URLSearchParams): number {
  const waitMillis = Number(query.get('waitMs'));
  return Number.isInteger(waitMillis) ? waitMillis : 0;
}
