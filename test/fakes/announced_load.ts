/**
 * Sends requests to all nodes of a fleet at a steady rate, and counts those that reach an
 * upstream from nodes that have passed on its announcements.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClientRequest, ClientResponse} from './fleet_client.js';
import type {Arrival} from './fake_upstream.js';

/** A request and its response, with the index of the node at which it entered. */
export interface Exchange {
  readonly nodeIndex: number;
  readonly attemptId: string;
  readonly path: string;
  readonly sentMillis: number;
  readonly answeredMillis: number;
  /** `undefined` if the connection was closed before a response. */
  readonly answer: ClientResponse | undefined;
}

/** A steady load; requests enter at the nodes in turn. */
export interface SteadyLoad {
  readonly nodeIndexes: readonly number[];
  readonly perSecond: number;
  readonly durationMillis: number;
  /** Returns the request with this number; a read by default. */
  readonly requestOf?: (index: number) => Omit<ClientRequest, 'attemptId'>;
}

/** Sends a request to the node with an index. */
export type SendToNode = (
  nodeIndex: number,
  request: ClientRequest,
) => Promise<ClientResponse>;

/** Rule of the platform: a limit bounds each window of this length. */
const WINDOW_MILLIS = 4000;

/** Rule of the platform: tolerated ratio of, and number beyond, an announced limit. */
const TOLERATED_RATIO = 1.5;
const TOLERATED_COUNT = 5;

/** Rule of the platform: time from a first announcement to the first window. */
const STABLE_MILLIS = 3000;

/** Rule of the platform: time from which a node must respect a limit that it passed on. */
const REACTION_MILLIS = 500;

/** Rule of the platform: time from which a leaving upstream gets no requests. */
const DRAIN_MILLIS = 2000;

const SECOND_MILLIS = 1000;

let sentCount = 0;

/** Sends a load and returns all exchanges once they have ended. */
export async function sendSteadily(
  send: SendToNode,
  load: SteadyLoad,
): Promise<readonly Exchange[]> {
  const {nodeIndexes, perSecond, durationMillis} = load;
  const requestOf = load.requestOf ?? (() => ({path: '/a/1'}));
  const exchanges: Promise<Exchange>[] = [];
  const startMillis = performance.now();
  for (;;) {
    const elapsedMillis = performance.now() - startMillis;
    if (elapsedMillis >= durationMillis) break;
    const dueCount = (elapsedMillis * perSecond) / SECOND_MILLIS;
    while (exchanges.length <= dueCount) {
      const index = exchanges.length;
      const nodeIndex = nodeIndexes[index % nodeIndexes.length] ?? 0;
      exchanges.push(exchange(send, nodeIndex, requestOf(index)));
    }
    await sleep(5);
  }
  return Promise.all(exchanges);
}

async function exchange(
  send: SendToNode,
  nodeIndex: number,
  request: Omit<ClientRequest, 'attemptId'>,
): Promise<Exchange> {
  sentCount += 1;
  const attemptId = `n${String(nodeIndex)}-${String(sentCount)}`;
  const sentMillis = performance.now();
  const answer = await send(nodeIndex, {attemptId, ...request}).catch(
    () => undefined,
  );
  const answeredMillis = performance.now();
  const {path} = request;
  return {nodeIndex, attemptId, path, sentMillis, answeredMillis, answer};
}

/** Number of requests that the platform tolerates in one window under a limit. */
export function toleratedCount(limitPerSecond: number): number {
  return (
    (TOLERATED_RATIO * limitPerSecond * WINDOW_MILLIS) / SECOND_MILLIS +
    TOLERATED_COUNT
  );
}

/**
 * Largest number of requests that reach an upstream in one window, from nodes that had
 * passed on a response with its limit.
 */
export function peakWindowCount(
  exchanges: readonly Exchange[],
  arrivals: readonly Arrival[],
): number {
  const informedMillis = firstResponsesWith('server-limit', exchanges);
  const fromMillis = Math.min(...informedMillis.values()) + STABLE_MILLIS;
  const nodeIndexes = new Map(
    exchanges.map(({attemptId, nodeIndex}) => [attemptId, nodeIndex]),
  );
  const times = arrivals
    .filter(({attemptId, atMillis}) => {
      const nodeIndex = nodeIndexes.get(attemptId) ?? -1;
      const sinceMillis = informedMillis.get(nodeIndex) ?? Infinity;
      return (
        atMillis >= fromMillis && atMillis >= sinceMillis + REACTION_MILLIS
      );
    })
    .map(({atMillis}) => atMillis);
  return peakCount(times);
}

/** Largest number of these times, in order, in one window. */
export function peakCount(times: readonly number[]): number {
  let first = 0;
  let peak = 0;
  for (const [last, atMillis] of times.entries()) {
    while ((times[first] ?? 0) <= atMillis - WINDOW_MILLIS) first += 1;
    peak = Math.max(peak, last - first + 1);
  }
  return peak;
}

/**
 * Ids of requests that reached a leaving upstream although their clients sent them after
 * the drain time of the node's first response that announced it.
 */
export function lateArrivals(
  exchanges: readonly Exchange[],
  arrivals: readonly Arrival[],
): readonly string[] {
  const informedMillis = firstResponsesWith('server-leaving', exchanges);
  const arrivedIds = new Set(arrivals.map(({attemptId}) => attemptId));
  return exchanges
    .filter(({nodeIndex, sentMillis, attemptId}) => {
      const sinceMillis = informedMillis.get(nodeIndex) ?? Infinity;
      return (
        sentMillis > sinceMillis + DRAIN_MILLIS && arrivedIds.has(attemptId)
      );
    })
    .map(({attemptId}) => attemptId);
}

/** Time of the first response with a header, by node. */
function firstResponsesWith(
  headerName: string,
  exchanges: readonly Exchange[],
): ReadonlyMap<number, number> {
  const first = new Map<number, number>();
  for (const {nodeIndex, answeredMillis, answer} of exchanges) {
    if (answer?.headers[headerName] === undefined) continue;
    const known = first.get(nodeIndex) ?? Infinity;
    first.set(nodeIndex, Math.min(known, answeredMillis));
  }
  return first;
}
