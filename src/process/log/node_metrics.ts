/**
 * Counters and latency histograms of a node, served as text.
 */
import {Counter, Gauge, Registry} from 'prom-client';
import type {HopReason} from '../../protocol/hop_messages.js';
import {createResponseTimes} from './response_times.js';

/** Metrics of one node. */
export interface NodeMetrics {
  /** A request ended at the entry with a status and after a time. */
  recordResponse(routeName: string, statusCode: number, millis: number): void;
  recordShed(service: string): void;
  /** A request was refused since its organisation is over its quota. */
  recordOverQuota(): void;
  recordRetry(reason: HopReason): void;
  recordRefusal(reason: HopReason): void;
  recordUnknownOutcome(reason: HopReason): void;
  /** The own upstream was handed a request and says that it is another one. */
  recordMisdirected(): void;
  /** The own upstream crashed while it worked on requests. */
  recordUpstreamCrash(): void;
  /** A request was refused because it crashes, or may crash, upstreams. */
  recordCrashRefusal(reason: string): void;
  /** A request suspected of crashes was answered. */
  recordCrashClearance(): void;
  /** A request entered, from the own upstream or from a client. */
  recordEntered(isUpstreams: boolean): void;
  recordStoreLost(): void;
  /** The store came back from an older copy. */
  recordStoreRestored(): void;
  /** A published document could not be used. */
  recordInvalidDocument(kind: DocumentKind): void;
  /** A call to the store ended, by what came of it. */
  recordStoreCall(result: string): void;
  /** Another node sent changes of the documents. */
  recordRelayedChanges(): void;
  /** Calls to the store so far, by what came of them. */
  storeCalls(): Readonly<Record<string, number>>;
  setGauge(name: GaugeName, value: number): void;
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Kinds of published documents. */
export type DocumentKind = 'configuration' | 'upstream';

/** Gauges. */
export type GaugeName =
  | 'admission_level'
  | 'queue_length'
  | 'in_flight'
  | 'configuration_version'
  | 'quarantined_requests'
  | 'known_upstreams';

/** Upper bounds in milliseconds: the objectives of today's routes and between. */
const BUCKETS_MILLIS = [5, 10, 25, 50, 100, 200, 400, 800, 1500, 5000];

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
  const answers = createResponseTimes(
    `${PREFIX}answer_millis`,
    'Time from a request to its answer at the entry',
    BUCKETS_MILLIS,
  );
  const sheds = counter('shed_total', 'Requests refused at the entry', [
    'service',
  ]);
  const overQuotas = counter(
    'over_quota_total',
    'Requests refused since their organisation is over its quota',
    [],
  );
  const retries = counter('retries_total', 'Requests sent again', ['reason']);
  const refusals = counter('refusals_total', 'Attempts not run', ['reason']);
  const unknowns = counter('unknown_total', 'Attempts that may have run', [
    'reason',
  ]);
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
  const enteredCounts = {upstream: 0, client: 0};
  // Filled in when it is asked for: this one counts each request.
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
  const relayed = counter(
    'documents_relayed_total',
    'Changes of documents that other nodes told',
    [],
  );
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
    recordResponse: answers.record,
    recordShed: service => {
      sheds.inc({service});
    },
    recordOverQuota: () => {
      overQuotas.inc();
    },
    recordRetry: reason => {
      retries.inc({reason});
    },
    recordRefusal: reason => {
      refusals.inc({reason});
    },
    recordUnknownOutcome: reason => {
      unknowns.inc({reason});
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
    recordEntered: isUpstreams => {
      enteredCounts[isUpstreams ? 'upstream' : 'client'] += 1;
    },
    recordRelayedChanges: () => {
      relayed.inc();
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
    text: async () => `${await registry.metrics()}\n${answers.text()}\n`,
  };
}
