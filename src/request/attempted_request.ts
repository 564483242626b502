/**
 * A request whose attempts all go to upstreams of one service.
 */
import type {ExecutionCall} from '../connection/execution.js';
import type {ServiceRoute} from '../version/route_configuration.js';

/** Input of the attempt runner. */
export interface AttemptedRequest {
  readonly route: ServiceRoute;
  readonly service: string;
  readonly call: ExecutionCall;
}
