/**
 * Reports of crashes as payloads of frames.
 */
import type {CrashFields, CrashReport, CrashSummary} from './crash_messages.js';
import {
  areStrings,
  isFiniteNumber,
  parseJson,
  parseList,
} from './message_payload.js';

/** First byte of a report that asks for one; other questions begin with 1 and 2. */
const CRASH_REPORT = 3;

/** Whether a question of another node is a report of crashes. */
export function isCrashReport(payload: Buffer): boolean {
  return payload[0] === CRASH_REPORT;
}

/** Writes a report; lists instead of objects keep it short. */
export function encodeCrashReport(report: CrashReport): Buffer {
  const crashes = report.crashes.map(crash => [
    crash.crashId,
    crash.upstreamId,
    crash.ageMillis,
    crash.fingerprints,
    crash.clearedFingerprints,
  ]);
  const summaries = report.summaries.map(({crashId, digest}) => [
    crashId,
    digest,
  ]);
  const list = [report.digest, crashes, summaries, report.wantedIds];
  const text = JSON.stringify(list);
  return Buffer.concat([Buffer.from([CRASH_REPORT]), Buffer.from(text)]);
}

/** Reads a report; `undefined` if it is none. */
export function decodeCrashReport(payload: Buffer): CrashReport | undefined {
  if (!isCrashReport(payload)) return undefined;
  const value = parseJson(payload.subarray(1).toString());
  if (!Array.isArray(value)) return undefined;
  const [digest, crashList, summaryList, wantedIds] =
    value as readonly unknown[];
  const crashes = parseList(crashList, crashOf);
  const summaries = parseList(summaryList, summaryOf);
  if (typeof digest !== 'string' || !isTextList(wantedIds)) return undefined;
  if (crashes === undefined || summaries === undefined) return undefined;
  return {digest, crashes, summaries, wantedIds};
}

function summaryOf(value: unknown): CrashSummary | undefined {
  if (!isTextList(value)) return undefined;
  const [crashId, digest] = value;
  if (crashId === undefined || digest === undefined) return undefined;
  return {crashId, digest};
}

function crashOf(value: unknown): CrashFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [crashId, upstreamId, ageMillis, fingerprints, cleared] =
    value as readonly unknown[];
  if (typeof crashId !== 'string' || typeof upstreamId !== 'string') {
    return undefined;
  }
  if (!isFiniteNumber(ageMillis) || ageMillis < 0) return undefined;
  if (!isTextList(fingerprints) || !isTextList(cleared)) return undefined;
  return {
    crashId,
    upstreamId,
    ageMillis,
    fingerprints,
    clearedFingerprints: cleared,
  };
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && areStrings(value as readonly unknown[]);
}
