/**
 * Emulates the platform's configuration service: two documents that nodes read
 * and watch, behind one or more fronts that fail independently.
 */
import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createEmitter} from '../base/event.js';
import {InvalidInputError} from '../base/errors.js';
import {
  LOOPBACK_ADDRESS,
  closeServer,
  createControlServer,
  listen,
  trackSockets,
} from './http_support.js';

/** The documents that the platform publishes. */
export type DocumentName = 'policy' | 'hosts';

/** How a front responds. */
export type PlatformFaultMode =
  | 'up'
  /** Connections are closed as soon as they are accepted. */
  | 'refuse'
  /** Requests are accepted but receive no response. */
  | 'hang'
  /** Requests receive status 500. */
  | 'error'
  /** Responses are aborted in the middle of the document. */
  | 'truncate';

/** Fault state of one front. */
export interface PlatformFault {
  readonly mode: PlatformFaultMode;
  /** Serves the documents that were current when this was set. */
  readonly isStale: boolean;
  /** Delay before each response. */
  readonly delayMillis: number;
}

/** Counts of calls; a watch counts as one call, however long it waits. */
export interface PlatformCounts {
  readonly callsCount: number;
  readonly readsCount: number;
  readonly watchesCount: number;
  readonly failedCount: number;
}

/** An endpoint of the platform; fleets use one for each availability zone. */
export interface PlatformFrontOptions {
  readonly name: string;
  readonly port: number;
}

/** Options of the platform; port 0 selects any free port. */
export interface EmulatedPlatformOptions {
  readonly address?: string | undefined;
  /** Port of the front named `main`. */
  readonly port: number;
  readonly controlPort?: number | undefined;
  /** Fronts besides `main`. */
  readonly fronts?: readonly PlatformFrontOptions[] | undefined;
}

/** A running emulated platform. */
export interface EmulatedPlatform {
  /** Port of the front `main`. */
  readonly port: number;
  readonly controlPort: number;
  readonly frontPorts: ReadonlyMap<string, number>;
  /**
   * Publishes bytes without checking them and returns their version: `version`,
   * the version stated in the document, or the next one.
   */
  publish(name: DocumentName, bytes: Uint8Array, version?: number): number;
  /**
   * Changes the fault state of one front, or of each front for `all`; throws an
   * InvalidInputError for an unknown name.
   */
  setFault(frontName: string, fault: Partial<PlatformFault>): void;
  counts(): PlatformCounts;
  close(): Promise<void>;
}

interface PublishedDocument {
  readonly version: number;
  readonly bytes: Uint8Array;
}

type Documents = Readonly<Record<DocumentName, PublishedDocument | undefined>>;

interface Front {
  readonly server: http.Server;
  readonly sockets: ReadonlySet<Socket>;
  fault: PlatformFault;
  /** Documents served while the front is stale. */
  staleDocuments: Documents | undefined;
}

const NO_PLATFORM_FAULT: PlatformFault = {
  mode: 'up',
  isStale: false,
  delayMillis: 0,
};

/** Upper limit of the wait time that a watch requests. */
const MAXIMUM_WAIT_MILLIS = 120_000;

const DOCUMENT_PATHS: ReadonlyMap<string, DocumentName> = new Map([
  ['/v1/policy', 'policy'],
  ['/v1/hosts', 'hosts'],
]);

/** Starts an emulated platform without documents. */
export async function createEmulatedPlatform(
  options: EmulatedPlatformOptions,
): Promise<EmulatedPlatform> {
  const address = options.address ?? LOOPBACK_ADDRESS;
  const onDidChange = createEmitter<undefined>();
  const counts = {
    callsCount: 0,
    readsCount: 0,
    watchesCount: 0,
    failedCount: 0,
  };
  let documents: Documents = {policy: undefined, hosts: undefined};

  const handleRequest = async (
    front: Front,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://platform');
    const name = DOCUMENT_PATHS.get(url.pathname);
    const after = url.searchParams.get('after');
    counts.callsCount += 1;
    if (after === null) counts.readsCount += 1;
    else counts.watchesCount += 1;
    if (front.fault.mode === 'hang') {
      counts.failedCount += 1;
      return;
    }
    if (front.fault.delayMillis > 0) await sleep(front.fault.delayMillis);
    if (front.fault.mode === 'error') {
      counts.failedCount += 1;
      response.writeHead(500, {'content-length': 0}).end();
      return;
    }
    if (name === undefined || request.method !== 'GET') {
      response.writeHead(404, {'content-length': 0}).end();
      return;
    }
    const currentDocument = (): PublishedDocument | undefined =>
      (front.staleDocuments ?? documents)[name];
    if (after !== null) {
      const waitMillis = Number(url.searchParams.get('wait_ms') ?? '0');
      await waitForNewer(currentDocument, Number(after), waitMillis, response);
    }
    if (response.destroyed) return;
    sendDocument(front, response, currentDocument(), after);
  };

  const waitForNewer = (
    currentDocument: () => PublishedDocument | undefined,
    afterVersion: number,
    waitMillis: number,
    response: ServerResponse,
  ): Promise<void> =>
    new Promise(resolve => {
      const isNewer = (): boolean =>
        (currentDocument()?.version ?? 0) > afterVersion;
      const finish = (): void => {
        clearTimeout(timer);
        subscription.dispose();
        resolve();
      };
      const timer = setTimeout(
        finish,
        Math.min(waitMillis, MAXIMUM_WAIT_MILLIS),
      );
      const subscription = onDidChange.event(() => {
        if (isNewer()) finish();
      });
      response.once('close', finish);
      if (isNewer()) finish();
    });

  const sendDocument = (
    front: Front,
    response: ServerResponse,
    document: PublishedDocument | undefined,
    after: string | null,
  ): void => {
    if (document === undefined) {
      const statusCode = after === null ? 404 : 304;
      response.writeHead(statusCode, {'content-length': 0}).end();
      return;
    }
    const etag = `"${String(document.version)}"`;
    if (after !== null && document.version <= Number(after)) {
      response.writeHead(304, {etag}).end();
      return;
    }
    response.writeHead(200, {
      etag,
      'content-type': 'application/json',
      'content-length': document.bytes.byteLength,
    });
    if (front.fault.mode === 'truncate') {
      counts.failedCount += 1;
      const half = Math.floor(document.bytes.byteLength / 2);
      response.write(document.bytes.subarray(0, half), () => {
        response.destroy();
      });
      return;
    }
    response.end(document.bytes);
  };

  const fronts = new Map<string, Front>();
  const frontPorts = new Map<string, number>();
  const openFront = async (name: string, port: number): Promise<void> => {
    const server = http.createServer((request, response) => {
      handleRequest(front, request, response).catch(() => {
        response.destroy();
      });
    });
    const sockets = trackSockets(server);
    const front: Front = {
      server,
      sockets,
      fault: NO_PLATFORM_FAULT,
      staleDocuments: undefined,
    };
    server.on('connection', (socket: Socket) => {
      if (front.fault.mode === 'refuse') socket.destroy();
    });
    fronts.set(name, front);
    frontPorts.set(name, await listen(server, address, port));
  };

  const setFrontFault = (front: Front, fault: Partial<PlatformFault>): void => {
    front.fault = {...front.fault, ...fault};
    if (!front.fault.isStale) front.staleDocuments = undefined;
    else front.staleDocuments ??= documents;
    if (front.fault.mode === 'refuse') {
      for (const socket of front.sockets) socket.destroy();
    }
    onDidChange.fire(undefined);
  };

  const publish = (
    name: DocumentName,
    bytes: Uint8Array,
    version?: number,
  ): number => {
    const nextVersion =
      version ?? versionOf(name, bytes) ?? (documents[name]?.version ?? 0) + 1;
    documents = {...documents, [name]: {version: nextVersion, bytes}};
    onDidChange.fire(undefined);
    return nextVersion;
  };

  const setFault = (frontName: string, fault: Partial<PlatformFault>): void => {
    const frontNames = frontName === 'all' ? [...fronts.keys()] : [frontName];
    for (const name of frontNames) {
      const front = fronts.get(name);
      if (front === undefined) {
        throw new InvalidInputError(`no front named '${name}'`);
      }
      setFrontFault(front, fault);
    }
  };

  const control = createControlServer((method, path, body) => {
    const url = new URL(path, 'http://control');
    const [, operation = '', argument = ''] = url.pathname.split('/');
    if (method === 'GET' && operation === 'counts') return counts;
    if (method !== 'PUT') return undefined;
    if (operation === 'policy' || operation === 'hosts') {
      const versionParameter = url.searchParams.get('version');
      const version =
        versionParameter === null ? undefined : Number(versionParameter);
      return {version: publish(operation, new Uint8Array(body), version)};
    }
    if (operation !== 'faults') return undefined;
    setFault(argument, JSON.parse(body.toString()) as Partial<PlatformFault>);
    return {};
  });

  await openFront('main', options.port);
  for (const front of options.fronts ?? []) {
    await openFront(front.name, front.port);
  }
  const controlPort = await listen(control, address, options.controlPort ?? 0);

  return {
    port: frontPorts.get('main') ?? 0,
    controlPort,
    frontPorts,
    publish,
    setFault,
    counts: () => ({...counts}),
    close: async () => {
      onDidChange.dispose();
      const servers = [control, ...[...fronts.values()].map(f => f.server)];
      await Promise.all(servers.map(closeServer));
    },
  };
}

/** Returns the version stated in a document, or undefined if it has none. */
function versionOf(name: DocumentName, bytes: Uint8Array): number | undefined {
  try {
    const content = JSON.parse(Buffer.from(bytes).toString()) as {
      readonly version?: unknown;
      readonly revision?: unknown;
    };
    const version = name === 'policy' ? content.version : content.revision;
    return typeof version === 'number' ? version : undefined;
  } catch {
    return undefined;
  }
}
