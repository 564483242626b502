/**
 * Bounded table of idempotency records; a finished record is forgotten when its
 * window has passed, never to make room.
 */
import * as Deferred from 'effect/Deferred';
import * as Effect from 'effect/Effect';
import type {KeptAnswer, KeyResult} from './key_records.js';

/** Bytes of answers kept in total, whatever the number of records. */
export const KEPT_ANSWERS_BYTES = 8 * 1024 * 1024;

/** What is remembered of one key. */
export interface KeptRecord {
  readonly key: string;
  readonly fingerprint: Uint8Array;
  /** Undefined while the key is being executed. */
  readonly result: FinishedKeyResult | undefined;
  /** Monotonic time at which the record is forgotten. */
  readonly forgetAtMillis: number;
}

/** A result that uses up the key. */
export type FinishedKeyResult = Exclude<KeyResult, {kind: 'not-run'}>;

interface RunningRecord {
  readonly fingerprint: Uint8Array;
  readonly result: Deferred.Deferred<KeyResult>;
}

/** Table of records by key. */
export interface KeptRecords {
  readonly count: number;
  readonly runningCount: number;
  readonly answersBytes: number;
  get(key: string): KeptRecord | undefined;
  /** Result of a key that is being executed. */
  awaitResult(key: string): Effect.Effect<KeyResult> | undefined;
  start(key: string, fingerprint: Uint8Array): void;
  /** Ends an execution; `not-run` frees the key. */
  finish(key: string, result: KeyResult, forgetAtMillis: number): void;
  /** Adds a finished record received from another host. */
  add(record: KeptRecord): void;
  /** Forgets finished records whose window has passed. */
  forgetBefore(nowMillis: number): void;
  /** Milliseconds until the next record is forgotten; undefined if none is. */
  nextForgetAtMillis(): number | undefined;
  finished(): readonly KeptRecord[];
}

/** Creates an empty table. */
export function createKeptRecords(): KeptRecords {
  const running = new Map<string, RunningRecord>();
  /** In order of their end. */
  const finished = new Map<string, KeptRecord>();
  let answersBytes = 0;

  const remove = (record: KeptRecord): void => {
    finished.delete(record.key);
    answersBytes -= answerBytes(record.result);
  };

  const add = (record: KeptRecord): void => {
    const isFull =
      answersBytes + answerBytes(record.result) > KEPT_ANSWERS_BYTES;
    const kept = isFull ? withoutAnswer(record) : record;
    finished.set(kept.key, kept);
    answersBytes += answerBytes(kept.result);
  };

  return {
    get count() {
      return running.size + finished.size;
    },
    get runningCount() {
      return running.size;
    },
    get answersBytes() {
      return answersBytes;
    },
    get: key => {
      const record = running.get(key);
      if (record === undefined) return finished.get(key);
      const {fingerprint} = record;
      return {key, fingerprint, result: undefined, forgetAtMillis: Infinity};
    },
    awaitResult: key => {
      const record = running.get(key);
      return record && Deferred.await(record.result);
    },
    start: (key, fingerprint) => {
      running.set(key, {fingerprint, result: Deferred.makeUnsafe()});
    },
    finish: (key, result, forgetAtMillis) => {
      const record = running.get(key);
      if (record === undefined) return;
      running.delete(key);
      if (result.kind !== 'not-run') {
        add({key, fingerprint: record.fingerprint, result, forgetAtMillis});
      }
      Deferred.doneUnsafe(record.result, Effect.succeed(result));
    },
    add: record => {
      if (!running.has(record.key) && !finished.has(record.key)) add(record);
    },
    forgetBefore: nowMillis => {
      for (const record of finished.values()) {
        if (record.forgetAtMillis > nowMillis) return;
        remove(record);
      }
    },
    nextForgetAtMillis: () => firstOf(finished.values())?.forgetAtMillis,
    finished: () => [...finished.values()],
  };
}

function firstOf<T>(values: Iterable<T>): T | undefined {
  for (const value of values) return value;
  return undefined;
}

function answerBytes(result: KeyResult | undefined): number {
  if (result?.kind !== 'ran' || result.answer === undefined) return 0;
  return answerSize(result.answer);
}

/** Bytes that an answer occupies while it is kept. */
export function answerSize(answer: KeptAnswer): number {
  let bytes = answer.body.byteLength;
  for (const [name, value] of answer.headers) {
    bytes += name.length + value.length;
  }
  return bytes;
}

function withoutAnswer(record: KeptRecord): KeptRecord {
  return {...record, result: {kind: 'ran', answer: undefined}};
}
