/**
 * Views of a request that the entry responder needs to send a response.
 */
import type {HttpExchange} from '../connection/http_listener.js';
import type {ShedCause} from '../process/admission/entry_admission.js';
import type {QuotaDecision} from '../process/quota/quota_enforcer.js';
import type {CallOrigin} from '../process/retries/in_flight_parents.js';
import type {ServiceRoute} from '../version/route_configuration.js';

/** A request that entered at this node and has no response yet. */
export interface OpenRequest {
  readonly exchange: HttpExchange;
  readonly attemptId: string;
  readonly route: ServiceRoute;
  readonly service: string;
  readonly arrivedMillis: number;
  readonly deadlineMillis: number;
  readonly origin: CallOrigin;
}

/** A request that entry admission shed. */
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

/** A request whose route is known, and that has not entered. */
export interface UnenteredRequest {
  readonly attemptId: string;
  readonly route: ServiceRoute;
}
