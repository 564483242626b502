/**
 * Receiving side of a hand-over of idempotency records.
 */
import {LRUCache} from 'lru-cache';
import type {TimeSource} from '../base/time_source.js';
import {parseKey} from '../process/key_format.js';
import type {KeyTakeover} from '../process/key_takeover.js';
import type {KeptAnswer} from '../process/key_records.js';
import type {FinishedKeyResult, KeptRecords} from '../process/kept_records.js';
import {answerSize} from '../process/kept_records.js';
import type {Metrics} from '../process/metrics.js';
import type {KeyPolicy} from '../version/policy.js';
import type {
  HandOverKeysRequest,
  KeyRecord,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {KeyOutcome} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {KeyHandOverReceiver} from './control_handlers.js';

/** Senders whose hand-overs are followed at the same time. */
const SENDERS_MAXIMUM_COUNT = 64;

const FINGERPRINT_MAXIMUM_BYTES = 64;

/** What the receiver works with. */
export interface KeyHandOverReceiverOptions {
  readonly records: KeptRecords;
  readonly takeover: KeyTakeover;
  readonly timeSource: TimeSource;
  readonly metrics: Metrics;
  /** Key rules in force; undefined before any policy. */
  readonly keyPolicy: () => KeyPolicy | undefined;
}

/** What has arrived from one incarnation of a sender. */
interface Progress {
  readonly incarnationMillis: bigint;
  readonly acceptedCount: number;
}

/** Creates a receiver that adds the records to those kept here. */
export function createKeyHandOverReceiver(
  options: KeyHandOverReceiverOptions,
): KeyHandOverReceiver {
  const {records, takeover, timeSource, metrics} = options;
  const progresses = new LRUCache<string, Progress>({
    max: SENDERS_MAXIMUM_COUNT,
  });

  const addAll = (received: readonly KeyRecord[]): number => {
    const policy = options.keyPolicy();
    if (policy === undefined) return 0;
    const nowMillis = timeSource.monotonicMillis();
    records.forgetBefore(nowMillis);
    let acceptedCount = 0;
    for (const record of received) {
      if (!isWellFormed(record)) break;
      if (records.count >= policy.recordsCount) break;
      addRecord(record, policy, nowMillis);
      acceptedCount += 1;
    }
    return acceptedCount;
  };

  const addRecord = (
    record: KeyRecord,
    policy: KeyPolicy,
    nowMillis: number,
  ): void => {
    const remainingMillis = Math.min(
      Number(record.remainingMillis),
      policy.windowMillis,
    );
    records.add({
      key: record.key,
      fingerprint: record.fingerprint,
      result: readResult(record, policy),
      forgetAtMillis: nowMillis + remainingMillis,
    });
  };

  return new (class extends KeyHandOverReceiver {
    override accept(request: HandOverKeysRequest): number {
      const {fromHostName, fromIncarnationMillis} = request;
      const {totalCount, placementDigest} = request;
      const acceptedCount = addAll(request.records);
      const earlier = progresses.get(fromHostName);
      const isContinued = earlier?.incarnationMillis === fromIncarnationMillis;
      const progress: Progress = {
        incarnationMillis: fromIncarnationMillis,
        acceptedCount:
          acceptedCount + (isContinued ? earlier.acceptedCount : 0),
      };
      progresses.set(fromHostName, progress);
      // A receiver restarted halfway, or full, lacks records. Were the last
      // request enough, it would execute keys again that the sender has run.
      const isComplete =
        request.isComplete && progress.acceptedCount === totalCount;
      if (isComplete) takeover.recordHandOver(fromHostName, placementDigest);
      else takeover.discardHandOver(fromHostName);
      metrics.increment('keys.handed_over', {}, acceptedCount);
      return acceptedCount;
    }
  })();
}

function isWellFormed(record: KeyRecord): boolean {
  if (parseKey(record.key) === undefined) return false;
  return record.fingerprint.byteLength <= FINGERPRINT_MAXIMUM_BYTES;
}

function readResult(record: KeyRecord, policy: KeyPolicy): FinishedKeyResult {
  if (record.outcome !== KeyOutcome.RAN) return {kind: 'unknown'};
  if (record.answer === undefined) return {kind: 'ran', answer: undefined};
  const {statusCode, headers, body} = record.answer;
  const answer: KeptAnswer = {
    statusCode,
    headers: headers.map(({name, value}) => [name, value] as const),
    body,
  };
  const isKept = answerSize(answer) <= policy.answerBytes;
  return {kind: 'ran', answer: isKept ? answer : undefined};
}
