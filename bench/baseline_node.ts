/**
 * A node that only forwards: to a host of the service in the own zone, and
 * there to the upstream.
 */
import * as http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {HttpAnswer} from '../src/emulator/http_support.js';
import {
  closeServer,
  listen,
  readWhole,
  sendHttp,
} from '../src/emulator/http_support.js';
import type {SlotPool} from '../src/emulator/slot_pool.js';
import {createSlotPool} from '../src/emulator/slot_pool.js';
import {waitFor} from '../src/emulator/wait_for.js';
import type {ListenAddress, Settings} from '../src/process/settings.js';
import type {HostList, PublishedHost} from '../src/version/host_list.js';
import type {Policy} from '../src/version/policy.js';

/**
 * - `none`: forwards everything and waits for as long as it takes.
 * - `naive`: a fixed limit with a bounded queue in order of arrival, and at
 *   each hop a timeout and up to three retries.
 */
export const BASELINE_MODES = ['none', 'naive'] as const;
export type BaselineMode = (typeof BASELINE_MODES)[number];

/** A running baseline node. */
export interface BaselineNode {
  close(): Promise<void>;
}

/** How a mode treats calls. */
interface Habits {
  readonly retriesCount: number;
  /** Undefined waits for as long as the other side takes. */
  readonly attemptMillis: number | undefined;
  readonly isLimited: boolean;
}

const HABITS: Readonly<Record<BaselineMode, Habits>> = {
  none: {retriesCount: 0, attemptMillis: undefined, isLimited: false},
  naive: {retriesCount: 3, attemptMillis: 1000, isLimited: true},
};

const FIRST_SERVER_ERROR = 500;
const STATUS_OVERLOADED = 503;
const STATUS_BAD_GATEWAY = 502;
const PLATFORM_LIMIT_MILLIS = 20_000;
const UNLIMITED_COUNT = 1_000_000;

/** Headers that go on unchanged. */
const PASSED_HEADERS = ['host', 'idempotency-key', 'content-type'];

/** Opens the listeners of a node once the platform has told the hosts. */
export async function startBaselineNode(
  settings: Settings,
  mode: BaselineMode,
): Promise<BaselineNode> {
  const habits = HABITS[mode];
  const agent = new http.Agent({keepAlive: true, noDelay: true});
  const {policy, hosts} = await readPlatform(settings.platformUrl);
  const slots = createSlots(policy, settings.service, habits);

  const forward = async (
    incoming: IncomingMessage,
    body: Buffer,
    port: number,
  ): Promise<HttpAnswer | undefined> => {
    try {
      return await sendHttp({
        address: settings.upstream.address,
        port,
        method: incoming.method,
        path: incoming.url ?? '/',
        headers: passedHeaders(incoming),
        body,
        agent,
        signal:
          habits.attemptMillis === undefined
            ? undefined
            : AbortSignal.timeout(habits.attemptMillis),
      });
    } catch {
      return undefined;
    }
  };

  const handleEntry: Handler = async (incoming, body) => {
    const service = (incoming.headers.host ?? '').split('.', 1)[0] ?? '';
    const candidates = orderHosts(hosts, service, settings.availabilityZone);
    let answer: HttpAnswer | undefined;
    for (let i = 0; i <= habits.retriesCount; i += 1) {
      const host = candidates[i % candidates.length];
      if (host === undefined) return undefined;
      answer = await forward(incoming, body, host.peerPort);
      if (answer !== undefined && answer.statusCode < FIRST_SERVER_ERROR) break;
    }
    return answer;
  };

  const handlePeer: Handler = async (incoming, body) => {
    if (!(await slots.acquire(NEVER))) return {statusCode: STATUS_OVERLOADED};
    try {
      return await forward(incoming, body, settings.upstream.port);
    } finally {
      slots.release();
    }
  };

  const servers = await Promise.all([
    openListener(settings.listen.caller, handleEntry),
    openListener(settings.listen.local, handleEntry),
    openListener(settings.listen.peer, handlePeer),
    openListener(settings.listen.admin, () => Promise.resolve({})),
  ]);
  return {
    close: async () => {
      agent.destroy();
      await Promise.all(servers.map(closeServer));
    },
  };
}

type Handler = (
  incoming: IncomingMessage,
  body: Buffer,
) => Promise<Partial<HttpAnswer> | undefined>;

/** A signal that never fires: nothing leaves the queue of a baseline early. */
const NEVER = new AbortController().signal;

function createSlots(
  policy: Policy,
  serviceName: string,
  habits: Habits,
): SlotPool {
  const service = policy.services.find(({name}) => name === serviceName);
  if (!habits.isLimited || service === undefined) {
    return createSlotPool(UNLIMITED_COUNT, 0);
  }
  return createSlotPool(service.slotsCount, service.queueCount);
}

/** Hosts of the own zone first, then others, each group in random order. */
function orderHosts(
  hosts: readonly PublishedHost[],
  service: string,
  ownZone: string,
): readonly PublishedHost[] {
  const rankOf = (host: PublishedHost): number =>
    (host.availabilityZone === ownZone ? 0 : 1) + Math.random();
  return hosts
    .filter(host => host.service === service)
    .map(host => ({host, rank: rankOf(host)}))
    .sort((a, b) => a.rank - b.rank)
    .map(({host}) => host);
}

async function openListener(
  address: ListenAddress,
  handle: Handler,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    readWhole(request)
      .then(body => handle(request, body))
      .then(answer => {
        writeAnswer(response, answer);
      })
      .catch(() => {
        response.destroy();
      });
  });
  await listen(server, address.address, address.port);
  return server;
}

function writeAnswer(
  response: ServerResponse,
  answer: Partial<HttpAnswer> | undefined,
): void {
  if (response.destroyed) return;
  const statusCode =
    answer === undefined ? STATUS_BAD_GATEWAY : (answer.statusCode ?? 200);
  const body = answer?.body ?? Buffer.alloc(0);
  response.writeHead(statusCode, {'content-length': body.byteLength});
  response.end(body);
}

function passedHeaders(incoming: IncomingMessage): http.OutgoingHttpHeaders {
  return Object.fromEntries(
    PASSED_HEADERS.flatMap(name => {
      const value = incoming.headers[name];
      return value === undefined ? [] : [[name, value]];
    }),
  );
}

interface PlatformContent {
  readonly policy: Policy;
  readonly hosts: readonly PublishedHost[];
}

async function readPlatform(platformUrl: string): Promise<PlatformContent> {
  const {hostname, port} = new URL(platformUrl);
  const read = async (path: string): Promise<unknown> => {
    const answer = await sendHttp({
      address: hostname,
      port: Number(port),
      path,
    });
    return JSON.parse(answer.body.toString()) as unknown;
  };
  let content: PlatformContent | undefined;
  const isRead = await waitFor(PLATFORM_LIMIT_MILLIS, async () => {
    const policy = (await read('/v1/policy')) as Policy;
    const list = (await read('/v1/hosts')) as HostList;
    content = {policy, hosts: list.hosts};
    return list.hosts.length > 0;
  });
  if (!isRead || content === undefined) throw new Error('no host list');
  return content;
}
