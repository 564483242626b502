/**
 * Result of one call between two nodes, carried in one answer header.
 */
import {encodeFields, readFields} from './field_codec.js';
import {isFailureReason} from './failure_body.js';
import type {FailureReason, Outcome} from './outcome.js';

const MAX_COUNT = 1_000_000_000;
const MAX_RETRY_AFTER_MILLIS = 24 * 60 * 60 * 1000;
const MAX_TEXT_LENGTH = 256;
const OUTCOMES: readonly string[] = ['not-run', 'unknown', 'ran'];

/** Load of the callee's host, in the shape of the admission controller's. */
export interface ReportedLoad {
  readonly inFlightCount: number;
  readonly queuedCount: number;
  readonly limitCount: number;
  readonly refusedFromClassIndex: number;
}

/** The failure part of a result. */
export interface ReportedFailure {
  readonly reason: FailureReason;
  readonly step: string;
  readonly peer: string;
  readonly retryAfterMillis?: number | undefined;
}

/** What the callee's node says about a call it answered. */
export interface CallResult {
  readonly outcome: Outcome;
  /** Retries of the lent grant that were not spent. */
  readonly unspentCount: number;
  readonly load: ReportedLoad;
  /** Whether a call made on behalf of this one failed. */
  readonly isDependencyFailed: boolean;
  /** Whether it failed because a service deeper in the graph refused it. */
  readonly isDependencyRefused: boolean;
  /** SHA-256 of a body sent whole, base64url; absent on streamed answers. */
  readonly bodyDigest?: string | undefined;
  /** Present when the node, not its upstream, produced the answer. */
  readonly failure?: ReportedFailure | undefined;
}

/** Encodes a result for the answer header. */
export function encodeCallResult(result: CallResult): string {
  return encodeFields({
    out: result.outcome,
    left: result.unspentCount,
    inf: result.load.inFlightCount,
    que: result.load.queuedCount,
    lim: result.load.limitCount,
    ref: result.load.refusedFromClassIndex,
    dep: result.isDependencyFailed ? 1 : 0,
    over: result.isDependencyRefused ? 1 : 0,
    dig: result.bodyDigest,
    why: result.failure?.reason,
    step: result.failure?.step,
    peer: result.failure?.peer,
    back: result.failure?.retryAfterMillis,
  });
}

/** Decodes and validates an answer header; throws `InvalidInputError`. */
export function decodeCallResult(encoded: string): CallResult {
  const fields = readFields(encoded, 'call-result');
  const outcome = fields.text('out', MAX_TEXT_LENGTH);
  return {
    outcome: OUTCOMES.includes(outcome) ? (outcome as Outcome) : 'unknown',
    unspentCount: fields.count('left', MAX_COUNT),
    load: {
      inFlightCount: fields.count('inf', MAX_COUNT),
      queuedCount: fields.count('que', MAX_COUNT),
      limitCount: fields.count('lim', MAX_COUNT),
      refusedFromClassIndex: fields.count('ref', MAX_COUNT),
    },
    isDependencyFailed: fields.flag('dep'),
    isDependencyRefused: fields.flag('over'),
    bodyDigest: fields.has('dig')
      ? fields.text('dig', MAX_TEXT_LENGTH)
      : undefined,
    failure: fields.has('why') ? readFailure(fields) : undefined,
  };
}

function readFailure(fields: ReturnType<typeof readFields>): ReportedFailure {
  const reason = fields.text('why', MAX_TEXT_LENGTH);
  return {
    reason: isFailureReason(reason) ? reason : 'internal-error',
    step: fields.text('step', MAX_TEXT_LENGTH),
    peer: fields.text('peer', MAX_TEXT_LENGTH),
    retryAfterMillis: fields.has('back')
      ? fields.count('back', MAX_RETRY_AFTER_MILLIS)
      : undefined,
  };
}
