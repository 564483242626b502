/**
 * Counters, gauges and latency histograms of a node.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {CancelCause} from '../../protocol/cancel_cause.js';
import type {HopReason} from '../../protocol/hop_messages.js';
import {createResponseTimes} from './response_times.js';

/** Metrics of one node. */
export interface NodeMetrics {
  /** Records the response to a request at its entry node. */
  recordResponse(routeName: string, statusCode: number, millis: number): void;
  recordShed(service: string): void;
  /** Records a request refused because its organisation is over its quota. */
  recordOverQuota(): void;
  recordRetry(reason: HopReason): void;
  recordRefusal(reason: HopReason): void;
  recordUnknownOutcome(reason: HopReason): void;
  /** Records that a request at the local upstream was cancelled. */
  recordCancelledRun(cause: CancelCause): void;
  /** Records why a request that must not be repeated is certain not to have run. */
  recordNotRunEvidence(evidence: string): void;
  /**
   * Records that the local upstream rejected a request as meant for another
   * one.
   */
  recordMisdirected(): void;
  /** Records a crash of the local upstream with requests in progress. */
  recordUpstreamCrash(): void;
  /** Records a request refused because it crashes, or may crash, upstreams. */
  recordCrashRefusal(reason: string): void;
  /** Records that a request suspected of crashes got a response. */
  recordCrashClearance(): void;
  /** Records a response whose body broke off after its header had been sent. */
  recordCutResponse(): void;
  /** Records how a response of the local upstream without a length ended. */
  recordUnframedEnd(end: 'closed' | 'reset'): void;
  /** Records invalid bytes after a complete response of the local upstream. */
  recordExcessBytes(): void;
  /** A response of the local upstream had a head that is not that of a final response. */
  recordInvalidHead(): void;
  /** Records a request that arrived again with its id, and was not run again. */
  recordRepeatedOrder(at: 'entry' | 'upstream'): void;
  /** Records a request that did not run, because its connection closed before its turn. */
  recordUnread(): void;
  /** Records a request that its sender resumed on another connection. */
  recordResumed(): void;
  /** Records a request received from the local upstream or from a client. */
  recordEntered(isFromUpstream: boolean): void;
  recordStoreLost(): void;
  /** Records that the store was restored from an older copy. */
  recordStoreRestored(): void;
  /** Records a published document that cannot be used. */
  recordInvalidDocument(kind: DocumentKind): void;
  /** Records the result of a call to the store. */
  recordStoreCall(result: string): void;
  /** Records document changes received from another node. */
  recordRelayedChanges(): void;
  /** Records the maximum age of document changes when they are applied. */
  recordAppliedChanges(maxAgeMillis: number): void;
  /** Calls to the store so far, by result. */
  storeCalls(): Readonly<Record<string, number>>;
  setGauge(name: GaugeName, value: number): void;
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>;
}

export type DocumentKind = 'configuration' | 'upstream';

export type GaugeName =
  | 'admission_level'
  /** Requests per second that the local upstream accepts; -1 if unlimited. */
  | 'announced_limit'
  | 'queue_length'
  | 'in_flight'
  /** Share of the time in which the event loop ran callbacks. */
  | 'event_loop_busy_ratio'
  | 'configuration_version'
  /** Age of the knowledge of the published documents. */
  | 'documents_age_millis'
  | 'quarantined_requests'
  | 'known_upstreams';

/**
 * Upper bounds: the latency objectives of the current routes, and values
 * between.
 */
const BUCKETS_MILLIS = [5, 10, 25, 50, 100, 200, 400, 800, 1500, 5000];

/**
 * Upper bounds of the age of applied documents: the shortest bound on applying
 * one is two seconds.
 */
const APPLIED_BUCKETS_MILLIS = [100, 500, 1000, 1500, 2000, 3000, 5000];

const PREFIX = 'fulmarhollow_';

/** Creates metrics at zero. */
export function createNodeMetrics(): NodeMetrics {
  const registry = new Registry();
  const registers = [registry];
  const counter = <T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[],
  ): Counter<T> =>
    new Counter({name: `${PREFIX}${name}`, help, labelNames, registers});
  const responseTimes = createResponseTimes(
    `${PREFIX}answer_millis`,
    'Time from a request to its answer at the entry',
    BUCKETS_MILLIS,
  );
  const shedRequests = counter('shed_total', 'Requests refused at the entry', [
    'service',
  ]);
  const overQuotaRequests = counter(
    'over_quota_total',
    'Requests refused since their organisation is over its quota',
    [],
  );
  const retries = counter('retries_total', 'Requests sent again', ['reason']);
  const refusals = counter('refusals_total', 'Attempts not run', ['reason']);
  const notRunEvidence = counter(
    'orders_not_run_total',
    'Attempts of requests that must not be repeated and were not run',
    ['evidence'],
  );
  const unknownOutcomes = counter(
    'unknown_total',
    'Attempts that may have run',
    ['reason'],
  );
  const cancelledRuns = counter(
    'cancelled_runs_total',
    'Requests at the own upstream that were cancelled',
    ['cause'],
  );
  const misdirected = counter(
    'misdirected_total',
    'Requests that the own upstream denies as meant for another one',
    [],
  );
  const upstreamCrashes = counter(
    'upstream_crashes_total',
    'Crashes of the own upstream with requests in progress',
    [],
  );
  const crashRefusals = counter(
    'crash_refusals_total',
    'Attempts refused because the request crashes, or may crash, upstreams',
    ['reason'],
  );
  const crashClearances = counter(
    'crash_clearances_total',
    'Requests suspected of crashes that were answered',
    [],
  );
  const cutResponses = counter(
    'cut_responses_total',
    'Responses that broke off after their header had been sent',
    [],
  );
  const unframedResponses = counter(
    'unframed_responses_total',
    'Responses of the own upstream that ended with their connection',
    ['end'],
  );
  const invalidHeads = counter(
    'invalid_response_heads_total',
    'Responses of the own upstream whose status or headers are invalid',
    [],
  );
  const excessBytes = counter(
    'excess_bytes_total',
    'Responses of the own upstream that were followed by invalid bytes',
    [],
  );
  const repeatedOrders = counter(
    'orders_repeated_total',
    'Requests that arrived again with their id and were not run again',
    ['at'],
  );
  const unreadOrders = counter(
    'orders_unread_total',
    'Requests not run since their connection closed before their turn',
    [],
  );
  const resumedRequests = counter(
    'resumed_total',
    'Requests that their sender resumed on another connection',
    [],
  );
  const enteredCounts = {upstream: 0, client: 0};
  // Computed on collection, because it counts every request.
  new Counter({
    name: `${PREFIX}entered_total`,
    help: 'Requests by their sender',
    labelNames: ['sender'],
    registers,
    collect() {
      this.reset();
      for (const [sender, count] of Object.entries(enteredCounts)) {
        this.inc({sender}, count);
      }
    },
  });
  const storeLosses = counter('store_lost_total', 'Losses of the store', []);
  const relayedChanges = counter(
    'documents_relayed_total',
    'Changes of documents that other nodes told',
    [],
  );
  const appliedChanges = new Histogram({
    name: `${PREFIX}documents_applied_age_millis`,
    help: 'Maximum age of changes of documents when they were applied',
    buckets: APPLIED_BUCKETS_MILLIS,
    registers,
  });
  const storeRestores = counter(
    'store_restored_total',
    'Returns of the store from an older copy',
    [],
  );
  const invalidDocuments = counter(
    'invalid_documents_total',
    'Published documents that cannot be used',
    ['kind'],
  );
  const storeCalls = counter('store_calls_total', 'Calls to the store', [
    'result',
  ]);
  const storeCallCounts: Record<string, number> = {};
  const gauges = new Map<GaugeName, Gauge>();
  return {
    recordResponse: responseTimes.record,
    recordShed: service => {
      shedRequests.inc({service});
    },
    recordOverQuota: () => {
      overQuotaRequests.inc();
    },
    recordRetry: reason => {
      retries.inc({reason});
    },
    recordRefusal: reason => {
      refusals.inc({reason});
    },
    recordNotRunEvidence: evidence => {
      notRunEvidence.inc({evidence});
    },
    recordUnknownOutcome: reason => {
      unknownOutcomes.inc({reason});
    },
    recordCancelledRun: cause => {
      cancelledRuns.inc({cause});
    },
    recordMisdirected: () => {
      misdirected.inc();
    },
    recordUpstreamCrash: () => {
      upstreamCrashes.inc();
    },
    recordCrashRefusal: reason => {
      crashRefusals.inc({reason});
    },
    recordCrashClearance: () => {
      crashClearances.inc();
    },
    recordCutResponse: () => {
      cutResponses.inc();
    },
    recordUnframedEnd: end => {
      unframedResponses.inc({end});
    },
    recordInvalidHead: () => {
      invalidHeads.inc();
    },
    recordExcessBytes: () => {
      excessBytes.inc();
    },
    recordRepeatedOrder: at => {
      repeatedOrders.inc({at});
    },
    recordUnread: () => {
      unreadOrders.inc();
    },
    recordResumed: () => {
      resumedRequests.inc();
    },
    recordEntered: isFromUpstream => {
      enteredCounts[isFromUpstream ? 'upstream' : 'client'] += 1;
    },
    recordRelayedChanges: () => {
      relayedChanges.inc();
    },
    recordAppliedChanges: maxAgeMillis => {
      appliedChanges.observe(maxAgeMillis);
    },
    recordStoreRestored: () => {
      storeRestores.inc();
    },
    recordStoreLost: () => {
      storeLosses.inc();
    },
    recordInvalidDocument: kind => {
      invalidDocuments.inc({kind});
    },
    recordStoreCall: result => {
      storeCalls.inc({result});
      storeCallCounts[result] = (storeCallCounts[result] ?? 0) + 1;
    },
    storeCalls: () => storeCallCounts,
    setGauge: (name, value) => {
      const gauge =
        gauges.get(name) ??
        new Gauge({name: `${PREFIX}${name}`, help: name, registers});
      gauges.set(name, gauge);
      gauge.set(value);
    },
    text: async () => `${await registry.metrics()}\n${responseTimes.text()}\n`,
  };
}
