/**
 * Decides whether a keyed request may be executed on this host.
 */
import type {TimeSource} from '../base/time_source.js';
import type {KeyPolicy} from '../version/policy.js';
import type {KeptRecord, KeptRecords} from './kept_records.js';
import {answerSize} from './kept_records.js';
import type {ParsedKey} from './key_format.js';
import {parseKey} from './key_format.js';
import type {ViewedKeyDirectory} from './key_home.js';
import type {KeyDecision, KeyRequest, KeyResult} from './key_records.js';
import {KeyRecords} from './key_records.js';
import type {KeyTakeover} from './key_takeover.js';
import type {Metrics} from './metrics.js';
import type {ViewLease} from './view_lease.js';

/** Counter of decisions, by kind and, for refusals, reason. */
export const KEY_DECISIONS_METRIC = 'keys.decisions';

/** Key records that can be told to take no new keys. */
export abstract class StoppableKeyRecords extends KeyRecords {
  /** Refuses new keys from now on; records still answer repeats. */
  abstract stopNewKeys(): void;
}

/** What the decisions are made from. */
export interface KeyRecordsOptions {
  readonly hostName: string;
  readonly service: string;
  readonly directory: ViewedKeyDirectory;
  readonly lease: ViewLease;
  readonly takeover: KeyTakeover;
  readonly records: KeptRecords;
  readonly timeSource: TimeSource;
  readonly metrics: Metrics;
}

type RefuseReason = Extract<KeyDecision, {kind: 'refuse'}>['reason'];

/** Time after which a refusal that a confirmation ends may be over. */
const RETRY_AFTER_MILLIS = 1000;

/** Creates records in the memory of this process. */
export function createKeyRecords(
  options: KeyRecordsOptions,
): StoppableKeyRecords {
  const {hostName, service, directory, lease, takeover, records} = options;
  const {timeSource, metrics} = options;
  let isStopping = false;

  const run = (request: KeyRequest, policy: KeyPolicy): KeyDecision => {
    records.start(request.key, request.fingerprint);
    return {
      kind: 'run',
      finish: result => {
        const forgetAtMillis =
          timeSource.monotonicMillis() + policy.windowMillis;
        records.finish(
          request.key,
          boundAnswer(result, policy.answerBytes),
          forgetAtMillis,
        );
      },
    };
  };

  /** Decision on a key of which nothing is remembered. */
  const beginNew = (request: KeyRequest, key: ParsedKey): KeyDecision => {
    if (isStopping) return refuse('draining');
    const view = lease.heldView();
    if (view === undefined) return refuse('view-unconfirmed');
    const isHome =
      view.homeOf(key.text, service) === hostName &&
      directory.homeOf(key.text, service) === hostName;
    if (!isHome) return refuse('key-home-unavailable');
    const policy = view.keys;
    const wallMillis = timeSource.wallMillis();
    if (isFromFuture(key, policy, wallMillis)) return refuse('key-malformed');
    if (isForgotten(key, policy, wallMillis)) return {kind: 'unknown'};
    if (!takeover.isExclusive(key)) return {kind: 'unknown'};
    if (records.count >= policy.recordsCount) return refuseFull();
    return run(request, policy);
  };

  const refuseFull = (): KeyDecision => {
    const nowMillis = timeSource.monotonicMillis();
    const nextMillis = records.nextForgetAtMillis() ?? nowMillis;
    return refuse('key-capacity', nextMillis - nowMillis);
  };

  const decide = (request: KeyRequest): KeyDecision => {
    const key = parseKey(request.key);
    if (key === undefined) return refuse('key-malformed');
    records.forgetBefore(timeSource.monotonicMillis());
    const record = records.get(key.text);
    return record === undefined
      ? beginNew(request, key)
      : repeat(request, record, records);
  };

  return new (class extends StoppableKeyRecords {
    override begin(request: KeyRequest): KeyDecision {
      const decision = decide(request);
      metrics.increment(KEY_DECISIONS_METRIC, {
        kind: decision.kind,
        reason: decision.kind === 'refuse' ? decision.reason : 'none',
      });
      return decision;
    }

    override stopNewKeys(): void {
      isStopping = true;
    }
  })();
}

/** Decision on a key that is remembered; needs no lease: the past is known. */
function repeat(
  request: KeyRequest,
  record: KeptRecord,
  records: KeptRecords,
): KeyDecision {
  if (Buffer.compare(request.fingerprint, record.fingerprint) !== 0) {
    return {kind: 'conflict'};
  }
  const result = records.awaitResult(record.key);
  if (result !== undefined) return {kind: 'join', result};
  if (record.result?.kind !== 'ran' || record.result.answer === undefined) {
    return {kind: 'unknown'};
  }
  return {kind: 'replay', answer: record.result.answer};
}

function refuse(
  reason: RefuseReason,
  retryAfterMillis = RETRY_AFTER_MILLIS,
): KeyDecision {
  return {
    kind: 'refuse',
    reason,
    retryAfterMillis: Math.max(retryAfterMillis, RETRY_AFTER_MILLIS),
  };
}

/**
 * A key stamped ahead of time would pass for younger than a later takeover,
 * and the successor would execute it again.
 */
function isFromFuture(
  {createdMillis}: ParsedKey,
  {clockBoundMillis}: KeyPolicy,
  wallMillis: number,
): boolean {
  if (createdMillis === undefined) return false;
  return createdMillis > wallMillis + clockBoundMillis;
}

/**
 * Whether the record of the key, had it run, might be forgotten by now; a
 * repeat that arrives late would be taken for new and executed again.
 */
function isForgotten(
  {createdMillis}: ParsedKey,
  {clockBoundMillis, windowMillis}: KeyPolicy,
  wallMillis: number,
): boolean {
  if (createdMillis === undefined) return false;
  return createdMillis <= wallMillis - windowMillis + 2 * clockBoundMillis;
}

function boundAnswer(result: KeyResult, maximumBytes: number): KeyResult {
  if (result.kind !== 'ran' || result.answer === undefined) return result;
  if (answerSize(result.answer) <= maximumBytes) return result;
  return {kind: 'ran', answer: undefined};
}
