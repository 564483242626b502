/**
 * A call to a service and its end, independent of the transport between nodes.
 */
import type {CallContext} from '../protocol/call_context.js';
import type {ReportedLoad} from '../protocol/call_result.js';
import type {Failure} from '../protocol/outcome.js';
import type {AnswerBody} from './answer_body.js';
import type {HeaderField} from './header_fields.js';

/** A call on its way to the node that guards an upstream. */
export interface CallRequest {
  readonly context: CallContext;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Idempotency key under which the callee must execute at most once. */
  readonly key: string | undefined;
}

/** An answer produced by the callee's upstream. */
export interface CallAnswer {
  readonly statusCode: number;
  readonly headers: readonly HeaderField[];
  readonly body: AnswerBody;
  /** Retries of the lent grant that were not spent. */
  readonly unspentCount: number;
  /** Load the callee's host reported. */
  readonly load: ReportedLoad | undefined;
  /** Whether a call made on behalf of this one failed. */
  readonly isDependencyFailed: boolean;
  /** Whether it failed because a service deeper in the graph refused it. */
  readonly isDependencyRefused: boolean;
}

/**
 * What is left of a lent grant: a number that was reported, `all` where the
 * call certainly reached nobody, `unknown` where no answer told.
 */
export type UnspentGrant = number | 'all' | 'unknown';

/** A call that ended without an answer of the callee's upstream. */
export interface CallFailure {
  readonly _tag: 'CallFailure';
  readonly failure: Failure;
  readonly unspent: UnspentGrant;
  readonly load: ReportedLoad | undefined;
  /** Whether the connection gave no sign of progress. */
  readonly isSilent: boolean;
}
