/**
 * Spreads host statuses over peer links: news at once, and everything after a
 * difference that stays.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createTimeoutTimer} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {FleetView, HostStatus} from '../process/fleet_view.js';
import type {Metrics} from '../process/metrics.js';
import type {HostStatusUpdate} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  createStatusRequest,
  createStatusUpdate,
  decodeStatuses,
} from './control_codec.js';
import type {PeerView} from './control_codec.js';
import type {PeerLink} from './peer_link.js';

/** News are gathered this long, so that many hosts cost one message. */
const GATHER_MILLIS = 25;

/** Heartbeats in a row with another digest before all statuses are asked for. */
const TOLERATED_MISMATCHES_COUNT = 2;

/** Shortest and longest time between two requests for all statuses. */
const REQUEST_INTERVAL_MILLIS = 2_000;
const REQUEST_INTERVAL_MAXIMUM_MILLIS = 32_000;

/** Statuses a node relays in one message. */
const MESSAGE_STATUSES_COUNT = 4096;

/** The status part of the exchanges of a node. */
export interface StatusExchange extends Disposable {
  /** Merges what a peer sent and passes news on to the others. */
  receive(link: PeerLink, update: HostStatusUpdate): void;
  /** Answers a request for all statuses. */
  sendAll(link: PeerLink): void;
  /** Compares a peer's digest with the own one. */
  compare(link: PeerLink, view: PeerView, own: PeerView): void;
  /** Sends gathered news now. */
  flush(): void;
}

/** Options of `createStatusExchange`. */
export interface StatusExchangeOptions {
  readonly fleetView: FleetView;
  readonly metrics: Metrics;
  readonly time: TimeSource;
  readonly links: () => Iterable<PeerLink>;
}

interface NewsItem {
  readonly status: HostStatus;
  /** Link it came from, which needs no copy; undefined for own news. */
  readonly source: PeerLink | undefined;
}

/** Statuses that are being merged. */
interface ReceivedStatuses {
  readonly link: PeerLink;
  readonly statuses: ReadonlySet<HostStatus>;
}

/** Creates the exchange and listens to the fleet view's news. */
export function createStatusExchange(
  options: StatusExchangeOptions,
): StatusExchange {
  const {fleetView, metrics, time} = options;
  const store = createDisposableStore();
  const news = new Map<string, NewsItem>();
  let flushTimer: Disposable | undefined;
  let received: ReceivedStatuses | undefined;
  let nextRequestMillis = Number.NEGATIVE_INFINITY;
  let requestIntervalMillis = REQUEST_INTERVAL_MILLIS;

  function flush(): void {
    if (flushTimer !== undefined) store.delete(flushTimer);
    flushTimer = undefined;
    const items = [...news.values()];
    news.clear();
    for (const link of options.links()) {
      const statuses = items
        .filter(item => item.source !== link)
        .map(item => item.status);
      sendStatuses(link, statuses);
    }
  }

  function gather(statuses: readonly HostStatus[]): void {
    for (const status of statuses) {
      // A correction of the own status, made while a peer's statuses are
      // merged, must go back to that peer as well.
      const isReceived = received?.statuses.has(status) === true;
      const source = isReceived ? received?.link : undefined;
      news.set(status.hostName, {status, source});
    }
    if (flushTimer !== undefined) return;
    flushTimer = store.add(createTimeoutTimer(GATHER_MILLIS, flush));
  }

  function request(link: PeerLink): void {
    const nowMillis = time.monotonicMillis();
    if (nowMillis < nextRequestMillis) return;
    // A difference that a full exchange does not settle must not cost a full
    // exchange at every heartbeat.
    nextRequestMillis = nowMillis + requestIntervalMillis;
    requestIntervalMillis = Math.min(
      requestIntervalMillis * 2,
      REQUEST_INTERVAL_MAXIMUM_MILLIS,
    );
    metrics.increment('control.status_requests');
    link.statusMismatchesCount = 0;
    link.send(createStatusRequest());
  }

  store.add(fleetView.onDidLearnStatuses(gather));
  return {
    receive: (link, update) => {
      const statuses = decodeStatuses(update.statuses);
      received = {link, statuses: new Set(statuses)};
      fleetView.mergeStatuses(statuses);
      received = undefined;
    },
    sendAll: link => {
      metrics.increment('control.status_full_answers');
      sendStatuses(link, fleetView.statuses());
    },
    compare: (link, view, own) => {
      const isComparable =
        view.listRevision === own.listRevision &&
        view.listDigest === own.listDigest;
      if (!isComparable) return;
      if (view.statusDigest === own.statusDigest) {
        link.statusMismatchesCount = 0;
        requestIntervalMillis = REQUEST_INTERVAL_MILLIS;
        return;
      }
      // One difference may only be news on its way.
      link.statusMismatchesCount += 1;
      if (link.statusMismatchesCount < TOLERATED_MISMATCHES_COUNT) return;
      request(link);
    },
    flush,
    dispose: () => {
      store.dispose();
    },
  };
}

function sendStatuses(link: PeerLink, statuses: readonly HostStatus[]): void {
  for (
    let start = 0;
    start < statuses.length;
    start += MESSAGE_STATUSES_COUNT
  ) {
    const part = statuses.slice(start, start + MESSAGE_STATUSES_COUNT);
    link.send(createStatusUpdate(part));
  }
}
