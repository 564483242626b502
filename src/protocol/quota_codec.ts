/**
 * Reports of the use of quotas and their answers as payloads of frames.
 */
import type {
  QuotaAllowance,
  QuotaReport,
  QuotaUsage,
} from './quota_messages.js';
import {isFiniteNumber, parseJson, parseList} from './message_payload.js';

/** First byte of a report; other questions begin with 1, 2 and 3. */
const QUOTA_REPORT = 4;

/** Hundredths are enough of a share, whole milliseconds of a time. */
const RATIO_STEPS = 100;

/** Whether a question of another node is a report of quotas. */
export function isQuotaReport(payload: Buffer): boolean {
  return payload[0] === QUOTA_REPORT;
}

/** Writes a report; lists instead of objects keep it short. */
export function encodeQuotaReport(report: QuotaReport): Buffer {
  const uses = report.uses.map(use => [
    use.organisation,
    use.ranCount,
    use.unconfirmedCount,
    withoutTrailingZeros(use.offeredCounts),
  ]);
  const text = JSON.stringify([
    report.reporterId,
    report.zone,
    report.sequence,
    uses,
  ]);
  return Buffer.concat([Buffer.from([QUOTA_REPORT]), Buffer.from(text)]);
}

/** Reads a report; `undefined` if it is none. */
export function decodeQuotaReport(payload: Buffer): QuotaReport | undefined {
  if (!isQuotaReport(payload)) return undefined;
  const value = parseJson(payload.subarray(1).toString());
  if (!Array.isArray(value)) return undefined;
  const [reporterId, zone, sequence, list] = value as readonly unknown[];
  const uses = parseList(list, useOf);
  if (typeof reporterId !== 'string' || typeof zone !== 'string') {
    return undefined;
  }
  if (!isFiniteNumber(sequence) || uses === undefined) return undefined;
  return {reporterId, zone, sequence, uses};
}

/** Writes the answer to a report. */
export function encodeQuotaAllowances(
  allowances: readonly QuotaAllowance[],
): Buffer {
  const lists = allowances.map(allowance => [
    allowance.organisation,
    allowance.admittedRatios.map(
      ratio => Math.round(ratio * RATIO_STEPS) / RATIO_STEPS,
    ),
    Math.round(allowance.returnMillis),
    Math.round(allowance.ranPerSecond),
    allowance.limitPerSecond,
    allowance.isSettling ? 1 : 0,
  ]);
  return Buffer.from(JSON.stringify(lists));
}

/** Reads an answer; `undefined` if it is none. */
export function decodeQuotaAllowances(
  payload: Buffer,
): readonly QuotaAllowance[] | undefined {
  return parseList(parseJson(payload.toString()), allowanceOf);
}

function withoutTrailingZeros(counts: readonly number[]): readonly number[] {
  const last = counts.findLastIndex(count => count !== 0);
  return counts.slice(0, last + 1);
}

function useOf(value: unknown): QuotaUsage | undefined {
  if (!Array.isArray(value)) return undefined;
  const [organisation, ranCount, unconfirmedCount, offeredCounts] =
    value as readonly unknown[];
  if (typeof organisation !== 'string') return undefined;
  if (!isFiniteNumber(ranCount) || !isFiniteNumber(unconfirmedCount)) {
    return undefined;
  }
  if (!areNumbers(offeredCounts)) return undefined;
  return {organisation, ranCount, unconfirmedCount, offeredCounts};
}

function allowanceOf(value: unknown): QuotaAllowance | undefined {
  if (!Array.isArray(value)) return undefined;
  const [organisation, ratios, returnMillis, ran, limit, settling] =
    value as readonly unknown[];
  if (typeof organisation !== 'string' || !areNumbers(ratios)) return undefined;
  if (
    !isFiniteNumber(returnMillis) ||
    !isFiniteNumber(ran) ||
    !isFiniteNumber(limit)
  ) {
    return undefined;
  }
  return {
    organisation,
    isSettling: settling === 1,
    admittedRatios: ratios,
    returnMillis,
    ranPerSecond: ran,
    limitPerSecond: limit,
  };
}

function areNumbers(value: unknown): value is readonly number[] {
  return (
    Array.isArray(value) && (value as readonly unknown[]).every(isFiniteNumber)
  );
}
