/**
 * A request for the upstream of this host.
 */
import type {ExecutionCall} from '../connection/execution.js';

/** A request to execute at the local upstream. */
export interface LocalCall extends Omit<ExecutionCall, 'body'> {
  /** Id of the upstream that the sender chose. */
  readonly upstreamId: string;
  /** Fetches the body once a slot is held; `undefined` if the sender disconnected. */
  readonly fetchBody: () => Buffer | undefined | Promise<Buffer | undefined>;
}
