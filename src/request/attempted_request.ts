/**
 * A request of which the attempts are made at upstreams of one service.
 */
import type {ExecutionCall} from '../connection/execution.js';
import type {ServiceRoute} from '../version/route_configuration.js';

/** A request to be attempted. */
export interface AttemptedRequest {
  readonly route: ServiceRoute;
  readonly service: string;
  readonly call: ExecutionCall;
}
