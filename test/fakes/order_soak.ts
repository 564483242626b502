/**
 * Seeded load of orders and reads on a fleet of node processes, with faults. Each run of
 * an order is counted by its id at the upstreams.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type {PipelinedRequest, PipeliningClient} from './pipelining_client.js';
import {connectPipeliningClient} from './pipelining_client.js';
import {ORDER_PATH, SAFE_PATH} from './platform_fleet.js';
import type {ProcessFleet} from './process_fleet.js';
import {
  startProcessFleet,
  waitForAllUpstreams,
  waitForVersion,
} from './process_fleet.js';
import {createSeededRandom} from './seeded_random.js';
import {countRuns, countRunsOfFullUpstreams} from './soak_upstreams.js';

export interface OrderSoakOptions {
  readonly seed: number;
  readonly clientsCount: number;
  readonly durationMillis: number;
  /** Requests that a client sends at once, at most. */
  readonly maxPipelinedCount: number;
  /** Service of each host. */
  readonly services: readonly string[];
  /** Upstreams have few slots, reject what exceeds them, and send some responses again. */
  readonly hasFullUpstreams?: boolean;
  /** Links between nodes are cut, both ways or one way, and some deadlines are short. */
  readonly hasLinkFaults?: boolean;
}

export interface OrderSoakReport {
  /** Number of orders by the final outcome that their client saw. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Orders that ran more than once, each with the events of its client. */
  readonly repeatedOrders: readonly string[];
  /** Orders that ran although their client was promised that they had not. */
  readonly brokenPromises: readonly string[];
  /** Orders that were sent again because they counted as not read. */
  readonly sentAgainCount: number;
}

/** A client's view of one order. */
interface SentOrder {
  readonly attemptId: string;
  readonly events: string[];
  isPromisedNotRun: boolean;
}

const MAX_PAUSE_MILLIS = 60;
const MAX_FAULT_INTERVAL_MILLIS = 700;
const MAX_FREEZE_MILLIS = 1500;
const MAX_LINK_FAULT_MILLIS = 1500;
const ORDER_RATIO = 0.5;
const SHORT_TIMEOUT_RATIO = 0.3;
const MAX_SHORT_MILLIS = 120;
const KEPT_CONNECTION_RATIO = 0.9;

/** Statuses that promise that a request has not run and never will. */
const PROMISE_STATUS_CODES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Runs one seed. */
export async function runOrderSoak(
  t: ExecutionContext,
  options: OrderSoakOptions,
): Promise<OrderSoakReport> {
  const random = createSeededRandom(options.seed);
  const {hasLinkFaults = false} = options;
  const fleet = await startProcessFleet(
    t,
    options.services,
    [SAFE_PATH, ORDER_PATH],
    {hasLinks: hasLinkFaults},
  );
  await waitForVersion(fleet.hosts, 1);
  await waitForAllUpstreams(fleet.hosts);
  const runCounts =
    options.hasFullUpstreams === true
      ? countRunsOfFullUpstreams(fleet, random)
      : countRuns(fleet, random);
  const orders = new Map<string, SentOrder>();
  const endMillis = performance.now() + options.durationMillis;
  const clients = Array.from({length: options.clientsCount}, (_, index) =>
    runClient(fleet, {
      name: `${String(options.seed)}-${String(index)}`,
      nodeIndex: index % fleet.hosts.length,
      maxPipelinedCount: options.maxPipelinedCount,
      random,
      endMillis,
      orders,
      shortTimeoutRatio: hasLinkFaults ? SHORT_TIMEOUT_RATIO : 0,
    }),
  );
  const sentAgain = Promise.all(clients);
  await injectFaults(fleet, random, endMillis);
  const counts = await sentAgain;
  return report(orders, runCounts, counts);
}

interface ClientOptions {
  readonly name: string;
  readonly nodeIndex: number;
  readonly maxPipelinedCount: number;
  readonly random: () => number;
  readonly endMillis: number;
  readonly orders: Map<string, SentOrder>;
  /** Ratio of the orders whose clients wait only for a moment. */
  readonly shortTimeoutRatio: number;
}

/** Sends until the end; returns the number of orders that it sent again. */
async function runClient(
  fleet: ProcessFleet,
  options: ClientOptions,
): Promise<number> {
  const {random, orders, maxPipelinedCount} = options;
  const address = fleet.hosts[options.nodeIndex]!.address;
  let client: PipeliningClient | undefined;
  let requestsCount = 0;
  let sentAgainCount = 0;
  let unread: readonly PipelinedRequest[] = [];

  const nextRequest = (): PipelinedRequest => {
    requestsCount += 1;
    const attemptId = `${options.name}-${String(requestsCount)}`;
    if (random() >= ORDER_RATIO) {
      return {attemptId, method: 'GET', path: '/a/1'};
    }
    orders.set(attemptId, {attemptId, events: [], isPromisedNotRun: false});
    const order = {attemptId, method: 'POST', path: '/order/1', body: 'x'};
    const isShort =
      options.shortTimeoutRatio > 0 && random() < options.shortTimeoutRatio;
    if (!isShort) return order;
    return {...order, timeoutMillis: Math.ceil(random() * MAX_SHORT_MILLIS)};
  };
  while (performance.now() < options.endMillis) {
    await sleep(random() * MAX_PAUSE_MILLIS);
    if (client?.isOpen !== true) {
      client = await connectPipeliningClient(address, fleet.outboundPort).catch(
        () => undefined,
      );
      if (client === undefined) continue;
    }
    sentAgainCount += unread.length;
    const count = 1 + Math.floor(random() * maxPipelinedCount);
    const batch = [...unread, ...Array.from({length: count}, nextRequest)];
    const outcomes = await client.send(batch);
    unread = [];
    for (const [index, outcome] of outcomes.entries()) {
      const request = batch[index]!;
      const order = orders.get(request.attemptId);
      if (outcome.kind !== 'answered') {
        order?.events.push(outcome.kind);
        if (outcome.kind === 'unread' && order !== undefined) {
          unread = [...unread, request];
        }
        continue;
      }
      const {statusCode} = outcome.head;
      order?.events.push(String(statusCode));
      if (order !== undefined && PROMISE_STATUS_CODES.has(statusCode)) {
        order.isPromisedNotRun = true;
      }
    }
    if (random() >= KEPT_CONNECTION_RATIO) client.close();
  }
  client?.close();
  return sentAgainCount;
}

/** Injects faults into nodes, upstreams and links until the end. */
export async function injectFaults(
  fleet: ProcessFleet,
  random: () => number,
  endMillis: number,
): Promise<void> {
  const pending: Promise<void>[] = [];
  let version = 1;
  let restartsCount = 0;
  const faultKindsCount = fleet.links === undefined ? 5 : 7;
  while (performance.now() < endMillis) {
    await sleep(random() * MAX_FAULT_INTERVAL_MILLIS);
    const index = Math.floor(random() * fleet.hosts.length);
    const host = fleet.hosts[index]!;
    switch (Math.floor(random() * faultKindsCount)) {
      case 0:
        fleet.restart(index);
        break;
      case 1:
        pending.push(fleet.stopAndRestart(index));
        break;
      case 2:
        pending.push(freeze(host.process, random() * MAX_FREEZE_MILLIS));
        break;
      case 3: {
        restartsCount += 1;
        const isSameId = random() < 0.5;
        const id = isSameId
          ? host.upstream.id
          : `${host.upstream.id}-${String(restartsCount)}`;
        pending.push(restartUpstream(fleet, {index, id, restartsCount}));
        break;
      }
      case 4:
        version += 1;
        fleet.configure(version);
        break;
      case 5:
        fleet.links?.cut(index);
        pending.push(
          after(random() * MAX_LINK_FAULT_MILLIS, () => {
            fleet.links?.restore(index);
          }),
        );
        break;
      default:
        fleet.links?.holdIncoming(index);
        pending.push(
          after(random() * MAX_LINK_FAULT_MILLIS, () => {
            fleet.links?.releaseIncoming(index);
          }),
        );
    }
  }
  await Promise.all(pending);
}

async function after(millis: number, action: () => void): Promise<void> {
  await sleep(millis);
  action();
}

/** Freezes a node for this long. */
export async function freeze(
  process: ProcessFleet['hosts'][number]['process'],
  millis: number,
): Promise<void> {
  process.freeze();
  await sleep(millis);
  process.resume();
}

export interface UpstreamRestart {
  readonly index: number;
  readonly id: string;
  readonly restartsCount: number;
}

/** Restarts an upstream and publishes its entry. */
export async function restartUpstream(
  fleet: ProcessFleet,
  {index, id, restartsCount}: UpstreamRestart,
): Promise<void> {
  const {upstream} = fleet.hosts[index]!;
  const previousId = upstream.id;
  await upstream.restart(id);
  if (previousId !== id) fleet.store.remove(`servers/${previousId}`);
  fleet.publish(index, {
    id,
    seq: 1,
    bornMillis: Date.now() + restartsCount,
  });
}

function report(
  orders: ReadonlyMap<string, SentOrder>,
  runCounts: ReadonlyMap<string, number>,
  sentAgainCounts: readonly number[],
): OrderSoakReport {
  const outcomes = new Map<string, number>();
  const repeatedOrders: string[] = [];
  const brokenPromises: string[] = [];
  for (const {attemptId, events, isPromisedNotRun} of orders.values()) {
    const outcome = events.at(-1) ?? 'none';
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    const runCount = runCounts.get(attemptId) ?? 0;
    const text = `${attemptId}: ${String(runCount)} runs, ${events.join(' ')}`;
    if (runCount > 1) repeatedOrders.push(text);
    if (isPromisedNotRun && runCount > 0) brokenPromises.push(text);
  }
  return {
    outcomes,
    repeatedOrders,
    brokenPromises,
    sentAgainCount: sentAgainCounts.reduce((sum, count) => sum + count, 0),
  };
}
