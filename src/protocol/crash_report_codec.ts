/**
 * Encodes and decodes crash reports as frame payloads.
 */
import type {CrashFields, CrashReport, CrashSummary} from './crash_messages.js';
import {
  areStrings,
  isFiniteNumber,
  parseJson,
  parseList,
} from './message_payload.js';

/** First byte of a crash report; other queries begin with 1, 2 or 4. */
const CRASH_REPORT_TYPE = 3;

/** Whether the payload of a query is a crash report. */
export function isCrashReport(payload: Buffer): boolean {
  return payload[0] === CRASH_REPORT_TYPE;
}

/** Encodes a report; arrays instead of objects keep the payload short. */
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
  const fields = [report.digest, crashes, summaries, report.wantedIds];
  const text = JSON.stringify(fields);
  return Buffer.concat([Buffer.from([CRASH_REPORT_TYPE]), Buffer.from(text)]);
}

/** Decodes a report; returns `undefined` if the payload is invalid. */
export function decodeCrashReport(payload: Buffer): CrashReport | undefined {
  if (!isCrashReport(payload)) return undefined;
  const value = parseJson(payload.subarray(1).toString());
  if (!Array.isArray(value)) return undefined;
  const [digest, crashList, summaryList, wantedIds] =
    value as readonly unknown[];
  const crashes = parseList(crashList, parseCrash);
  const summaries = parseList(summaryList, parseSummary);
  if (typeof digest !== 'string' || !isStringList(wantedIds)) return undefined;
  if (crashes === undefined || summaries === undefined) return undefined;
  return {digest, crashes, summaries, wantedIds};
}

function parseSummary(value: unknown): CrashSummary | undefined {
  if (!isStringList(value)) return undefined;
  const [crashId, digest] = value;
  if (crashId === undefined || digest === undefined) return undefined;
  return {crashId, digest};
}

function parseCrash(value: unknown): CrashFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [crashId, upstreamId, ageMillis, fingerprints, cleared] =
    value as readonly unknown[];
  if (typeof crashId !== 'string' || typeof upstreamId !== 'string') {
    return undefined;
  }
  if (!isFiniteNumber(ageMillis) || ageMillis < 0) return undefined;
  if (!isStringList(fingerprints) || !isStringList(cleared)) return undefined;
  return {
    crashId,
    upstreamId,
    ageMillis,
    fingerprints,
    clearedFingerprints: cleared,
  };
}

function isStringList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && areStrings(value as readonly unknown[]);
}
