/**
 * A stand-in for the platform's metadata store: reads by prefix, watches, and
 * the faults it is known for.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** How the store treats calls. */
export type StoreMode = 'healthy' | 'busy' | 'silent' | 'reset';

/** An address of the store, which can be lost while others answer. */
export interface StoreEndpoint {
  readonly port: number;
  setMode(mode: StoreMode): void;
}

/** What the store held at one moment. */
export interface StoreSnapshot {
  readonly items: ReadonlyMap<string, Change>;
  readonly history: readonly Change[];
  readonly oldestRevision: number;
  readonly revision: number;
}

/** The stand-in. */
export interface FakeStore {
  /** Calls received so far. */
  readonly callsCount: number;
  /** Revision of the last change. */
  readonly revision: number;
  openEndpoint(): Promise<StoreEndpoint>;
  put(key: string, value: object): void;
  /** Writes what another writer left there; `text` stands where base64 should. */
  putRaw(key: string, text: string | undefined): void;
  remove(key: string): void;
  /** For all entrances. */
  setMode(mode: StoreMode): void;
  /** Forgets the history: watches from the past get 410. */
  compact(): void;
  takeSnapshot(): StoreSnapshot;
  /**
   * Comes back from a copy. What was written since is gone, and its revisions are
   * given out again.
   */
  restore(copy: StoreSnapshot): void;
  /** Acts once, as the second page of a range is asked for. */
  onSecondPage(act: () => void): void;
  /**
   * The next watches from before the history hear nothing, and get their 410 only
   * when their wait is over.
   */
  delayHistoryLost(count: number): void;
  /** The longest wait of these that was over when it was told; 0 if none was. */
  readonly longestDelayMillis: number;
  /** Items a page of a range holds. */
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
  readonly entrance: Entrance;
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
}

interface Entrance {
  readonly server: Server;
  mode: StoreMode;
}

const DEFAULT_PAGE_ITEMS = 500;

/** Creates a store without items and entrances. */
export function createFakeStore(): FakeStore {
  const entrances: Entrance[] = [];
  let items = new Map<string, Change>();
  let history: Change[] = [];
  let oldestRevision = 0;
  let revision = 100;
  let era = 1;
  let actBeforeSecondPage: (() => void) | undefined;
  let callsCount = 0;
  let holdCount = 0;
  let longestHeldMillis = 0;
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

  const cutWatches = (isCut: (watch: Watch) => boolean): void => {
    for (const waiting of [...watches].filter(isCut)) {
      watches.delete(waiting);
      waiting.response.destroy();
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
      actBeforeSecondPage?.();
      actBeforeSecondPage = undefined;
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

  const holdLostWatch = (
    query: URLSearchParams,
    response: ServerResponse,
  ): void => {
    holdCount -= 1;
    const waitMillis = Number(query.get('waitMs'));
    const timer = setTimeout(() => {
      longestHeldMillis = Math.max(longestHeldMillis, waitMillis);
      sendJson(response, 410, {error: 'history'});
    }, waitMillis);
    response.on('close', () => {
      clearTimeout(timer);
    });
  };

  const watch = (
    entrance: Entrance,
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
      if (holdCount > 0) holdLostWatch(query, response);
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
    const waiting: Watch = {entrance, prefix, after, response};
    watches.add(waiting);
    const timer = setTimeout(
      () => {
        if (!watches.delete(waiting)) return;
        sendJson(response, 200, {events: [], atRev: revision});
      },
      Number(query.get('waitMs')),
    );
    timer.unref();
    response.on('close', () => {
      clearTimeout(timer);
      watches.delete(waiting);
    });
  };

  const handle = (
    entrance: Entrance,
    request: IncomingMessage,
    response: ServerResponse,
  ): void => {
    const {mode} = entrance;
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
    else if (url.pathname === '/kv-watch') watch(entrance, query, response);
    else sendJson(response, 404, {error: 'unknown'});
  };

  const setMode = (entrance: Entrance, mode: StoreMode): void => {
    entrance.mode = mode;
    if (mode !== 'healthy')
      cutWatches(waiting => waiting.entrance === entrance);
  };

  const openEndpoint = async (): Promise<StoreEndpoint> => {
    const server = createServer((request, response) => {
      handle(entrance, request, response);
    });
    const entrance: Entrance = {server, mode: 'healthy'};
    entrances.push(entrance);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return {
      port: (server.address() as AddressInfo).port,
      setMode: mode => {
        setMode(entrance, mode);
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
      for (const entrance of entrances) setMode(entrance, mode);
    },
    compact: () => {
      history = [];
      oldestRevision = revision;
      cutWatches(() => true);
    },
    takeSnapshot: () => ({
      items: new Map(items),
      history: [...history],
      oldestRevision,
      revision,
    }),
    restore: copy => {
      items = new Map(copy.items);
      history = [...copy.history];
      ({oldestRevision, revision} = copy);
      era += 1;
      cutWatches(() => true);
    },
    onSecondPage: act => {
      actBeforeSecondPage = act;
    },
    delayHistoryLost: count => {
      holdCount = count;
    },
    get longestDelayMillis() {
      return longestHeldMillis;
    },
    setPageSize: count => {
      pageItemsCount = count;
    },
    close: () => {
      for (const {server} of entrances) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}

/** Text as the store encodes values. */
export function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}
