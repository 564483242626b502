/**
 * The decisions a node takes on the path of requests, apart from the adaptors
 * that carry them out.
 */
import type {TimeSource} from '../base/time_source.js';
import type {
  AdmissionConfig,
  AdmissionController,
} from '../process/admission_controller.js';
import type {ConcurrencyLimitFactory} from '../process/concurrency_limit.js';
import type {FleetView} from '../process/fleet_view.js';
import type {HostSelector} from '../process/host_selector.js';
import {createHostSelector} from '../process/load_aware_selector.js';
import type {Metrics} from '../process/metrics.js';
import {createAdmissionController} from '../process/priority_admission.js';
import type {RetryBudget} from '../process/retry_budget.js';
import type {RouteThrottle} from '../process/route_throttle.js';
import {createRouteThrottle} from '../process/route_throttle.js';
import type {Settings} from '../process/settings.js';
import {createRetryBudget} from '../process/token_bucket_retry_budget.js';
import type {RetryGrantFactory} from '../request/retry_grant.js';
import {createRetryGrant} from '../request/shared_retry_grant.js';
import type {CompiledPolicy} from '../version/policy.js';

/** Everything that decides about a request. */
export interface Decisions {
  readonly admission: AdmissionController;
  readonly selector: HostSelector;
  readonly budget: RetryBudget;
  readonly throttle: RouteThrottle;
  readonly createGrant: RetryGrantFactory;
  /** Monotonic time at which a call with this much time left is worthless. */
  readonly deadlineOf: (leftMillis: number) => number;
}

/** What decisions depend on. */
export interface DecisionsOptions {
  readonly settings: Settings;
  readonly fleet: FleetView;
  readonly time: TimeSource;
  readonly metrics: Metrics;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** The adaptive limit when absent. */
  readonly createLimit?: ConcurrencyLimitFactory | undefined;
}

/** Creates the decisions of one node. */
export type DecisionsFactory = (options: DecisionsOptions) => Decisions;

/** Refuses all calls until a policy tells the upstream's slots. */
const INITIAL_ADMISSION: AdmissionConfig = {
  slotsCount: 1,
  queueCount: 1,
  queueWaitMillis: 1,
  reservedRatios: [0],
  retryAfterMinimumMillis: 1000,
  retryAfterMaximumMillis: 5000,
};
const INITIAL_RETRY_RATIO = 0;
const INITIAL_RETRIES_PER_SECOND = 0;

/** Creates the decisions as the product takes them. */
export function createDecisions(options: DecisionsOptions): Decisions {
  const {settings, fleet, time, metrics, random, createLimit} = options;
  return {
    admission: createAdmissionController({
      config: INITIAL_ADMISSION,
      time,
      metrics,
      random,
      createLimit,
    }),
    selector: createHostSelector({
      fleet,
      ownZone: settings.availabilityZone,
      ownRegion: settings.region,
      hostName: settings.hostName,
      time,
      random,
      metrics,
    }),
    budget: createRetryBudget({
      ratio: INITIAL_RETRY_RATIO,
      minimumPerSecond: INITIAL_RETRIES_PER_SECOND,
      time,
    }),
    throttle: createRouteThrottle(time, random),
    createGrant: createRetryGrant,
    deadlineOf: leftMillis => time.monotonicMillis() + leftMillis,
  };
}

/** Applies what a policy says about the decisions of a service's host. */
export function configureDecisions(
  decisions: Decisions,
  compiled: CompiledPolicy,
  serviceName: string,
): void {
  const {admission, selector, budget} = decisions;
  const {policy} = compiled;
  const {ratio, minimumPerSecond} = policy.retryBudget;
  selector.configure(policy.ejection, policy.timing);
  budget.configure(ratio, minimumPerSecond);
  const service = compiled.findService(serviceName);
  if (service === undefined) return;
  admission.configure({
    slotsCount: service.slotsCount,
    queueCount: service.queueCount,
    queueWaitMillis: service.queueWaitMillis,
    reservedRatios: policy.classes.map(({reservedRatio}) => reservedRatio),
    retryAfterMinimumMillis: policy.timing.retryAfterMinimumMillis,
    retryAfterMaximumMillis: policy.timing.retryAfterMaximumMillis,
  });
}
