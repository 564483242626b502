/**
 * Context of one call between two nodes, carried in one request header.
 */
import {InvalidInputError} from '../base/errors.js';
import {encodeFields, readFields} from './field_codec.js';

/** Version of the call protocol between nodes. */
export const CALL_PROTOCOL_VERSION = 1;

const MAX_ID_LENGTH = 64;
const MAX_NAME_LENGTH = 128;
const MAX_CLASS_INDEX = 63;
const MAX_LEFT_MILLIS = 24 * 60 * 60 * 1000;

/** Largest grant that can be lent. */
export const MAX_GRANT_COUNT = 1000;

/** What a callee must know of the request on whose behalf it is called. */
export interface CallContext {
  readonly requestId: string;
  readonly deployment: string;
  /** Policy version the request entered under. */
  readonly policyVersion: number;
  readonly service: string;
  /** Position of the class in that policy. */
  readonly classIndex: number;
  /** Milliseconds until the deadline, counted from sending. */
  readonly leftMillis: number;
  /** Retries lent to this call. */
  readonly grantCount: number;
  /** Whether nothing on behalf of this call may be repeated but safe reads. */
  readonly isRepeatBanned: boolean;
}

/** Encodes a context for the call header. */
export function encodeCallContext(context: CallContext): string {
  return encodeFields({
    v: CALL_PROTOCOL_VERSION,
    rid: context.requestId,
    dep: context.deployment,
    pv: context.policyVersion,
    svc: context.service,
    cl: context.classIndex,
    left: Math.max(0, Math.floor(context.leftMillis)),
    grant: context.grantCount,
    ban: context.isRepeatBanned ? 1 : 0,
  });
}

/** Decodes and validates a call header; throws `InvalidInputError`. */
export function decodeCallContext(encoded: string): CallContext {
  const fields = readFields(encoded, 'call-context');
  const version = fields.count('v', Number.MAX_SAFE_INTEGER);
  if (version !== CALL_PROTOCOL_VERSION) {
    throw new InvalidInputError(
      `Call protocol version ${String(version)} is not supported.`,
      {props: {step: 'call-context', peer: 'remote'}},
    );
  }
  return {
    requestId: fields.text('rid', MAX_ID_LENGTH),
    deployment: fields.text('dep', MAX_NAME_LENGTH),
    policyVersion: fields.count('pv', Number.MAX_SAFE_INTEGER),
    service: fields.text('svc', MAX_NAME_LENGTH),
    classIndex: fields.count('cl', MAX_CLASS_INDEX),
    leftMillis: fields.count('left', MAX_LEFT_MILLIS),
    grantCount: fields.count('grant', MAX_GRANT_COUNT),
    isRepeatBanned: fields.flag('ban'),
  };
}
