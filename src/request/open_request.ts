/**
 * Requests as far as their answers at the entry are concerned.
 */
import type {HttpExchange} from '../connection/http_listener.js';
import type {ShedCause} from '../process/admission/entry_admission.js';
import type {QuotaDecision} from '../process/quota/quota_enforcer.js';
import type {CallOrigin} from '../process/repeats/in_flight_parents.js';
import type {ServiceRoute} from '../version/route_configuration.js';

/** A request as far as its answer is concerned. */
export interface OpenRequest {
  readonly exchange: HttpExchange;
  readonly attemptId: string;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly arrivedMillis: number;
  readonly deadlineMillis: number;
  readonly origin: CallOrigin;
}

/** A request that the gate kept out. */
export interface ShedRequest {
  readonly attemptId: string;
  readonly route: ServiceRoute;
  readonly cause: ShedCause;
  readonly importance: number;
  readonly arrivedMillis: number;
}

/** A request whose organisation is over its quota. */
export interface OverQuotaRequest {
  readonly attemptId: string;
  readonly route: ServiceRoute;
  readonly decision: Extract<QuotaDecision, {readonly kind: 'over-quota'}>;
}

/** A request that comes to a node that stops. */
export interface RequestDuringStop {
  readonly attemptId: string;
  readonly route: ServiceRoute;
}
