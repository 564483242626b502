/**
 * Encodes and decodes quota reports and their responses as frame payloads.
 */
import type {
  QuotaAllowance,
  QuotaReport,
  QuotaUsage,
} from './quota_messages.js';
import {isFiniteNumber, parseJson, parseList} from './message_payload.js';

/** First byte of a quota report; other queries begin with 1, 2 or 3. */
const QUOTA_REPORT_TYPE = 4;

/**
 * Ratios are rounded to hundredths; times are rounded to whole milliseconds.
 */
const RATIO_STEPS = 100;

/** Whether the payload of a query is a quota report. */
export function isQuotaReport(payload: Buffer): boolean {
  return payload[0] === QUOTA_REPORT_TYPE;
}

/** Encodes a report; arrays instead of objects keep the payload short. */
export function encodeQuotaReport(report: QuotaReport): Buffer {
  const uses = report.uses.map(usage => [
    usage.organisation,
    usage.ranCount,
    usage.unconfirmedCount,
    withoutTrailingZeros(usage.offeredCounts),
  ]);
  const text = JSON.stringify([
    report.reporterId,
    report.zone,
    report.sequence,
    uses,
  ]);
  return Buffer.concat([Buffer.from([QUOTA_REPORT_TYPE]), Buffer.from(text)]);
}

/** Decodes a report; returns `undefined` if the payload is invalid. */
export function decodeQuotaReport(payload: Buffer): QuotaReport | undefined {
  if (!isQuotaReport(payload)) return undefined;
  const value = parseJson(payload.subarray(1).toString());
  if (!Array.isArray(value)) return undefined;
  const [reporterId, zone, sequence, list] = value as readonly unknown[];
  const uses = parseList(list, parseUsage);
  if (typeof reporterId !== 'string' || typeof zone !== 'string') {
    return undefined;
  }
  if (!isFiniteNumber(sequence) || uses === undefined) return undefined;
  return {reporterId, zone, sequence, uses};
}

/** Encodes the response to a report. */
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

/** Decodes the response; returns `undefined` if the payload is invalid. */
export function decodeQuotaAllowances(
  payload: Buffer,
): readonly QuotaAllowance[] | undefined {
  return parseList(parseJson(payload.toString()), parseAllowance);
}

function withoutTrailingZeros(counts: readonly number[]): readonly number[] {
  const last = counts.findLastIndex(count => count !== 0);
  return counts.slice(0, last + 1);
}

function parseUsage(value: unknown): QuotaUsage | undefined {
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

function parseAllowance(value: unknown): QuotaAllowance | undefined {
  if (!Array.isArray(value)) return undefined;
  const [organisation, ratios, returnMillis, ranRate, limitRate, settlingFlag] =
    value as readonly unknown[];
  if (typeof organisation !== 'string' || !areNumbers(ratios)) return undefined;
  if (
    !isFiniteNumber(returnMillis) ||
    !isFiniteNumber(ranRate) ||
    !isFiniteNumber(limitRate)
  ) {
    return undefined;
  }
  return {
    organisation,
    isSettling: settlingFlag === 1,
    admittedRatios: ratios,
    returnMillis,
    ranPerSecond: ranRate,
    limitPerSecond: limitRate,
  };
}

function areNumbers(value: unknown): value is readonly number[] {
  return (
    Array.isArray(value) && (value as readonly unknown[]).every(isFiniteNumber)
  );
}
