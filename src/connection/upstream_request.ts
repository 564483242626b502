/**
 * A request for the upstream of this host.
 */
import type {RequestCancelSignal} from '../protocol/cancel_cause.js';
import type {RawHeaders} from './raw_headers.js';

/** A request for the upstream. */
export interface UpstreamRequest {
  readonly attemptId: string;
  readonly upstreamId: string;
  readonly callerService: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly isRepeatable: boolean;
  readonly timeoutMillis: number;
  readonly cancel: RequestCancelSignal;
}
