/**
 * Calls of requests that enter, held back while services deeper in the graph
 * refuse their like.
 */
import * as Effect from 'effect/Effect';
import type {CallAnswer, CallFailure} from '../connection/call_messages.js';
import type {Metrics} from '../process/metrics.js';
import type {RouteThrottle, ThrottledRoute} from '../process/route_throttle.js';
import {isFailedAnswer, isRefusedByLoad} from './attempt_verdict.js';
import {createCallFailure} from './failures.js';
import type {OutboundCalls} from './outbound_call.js';
import type {OutboundCall} from './request_scope.js';

/** What a throttled call needs. */
export interface ThrottledCallOptions {
  readonly hostName: string;
  readonly calls: OutboundCalls;
  readonly throttle: RouteThrottle;
  readonly metrics: Metrics;
}

/** Makes the call of a request that has just entered, or refuses it at once. */
export function runThrottled(
  options: ThrottledCallOptions,
  call: OutboundCall,
  routeName: string,
): Effect.Effect<CallAnswer, CallFailure> {
  const {throttle, metrics} = options;
  const route: ThrottledRoute = {
    service: call.service,
    routeName,
    classIndex: call.scope.classIndex,
  };
  return Effect.suspend(() => {
    if (!throttle.mayEnter(route)) {
      metrics.increment('entry.throttled', {class: String(route.classIndex)});
      return Effect.fail(throttledFailure(options, call));
    }
    return options.calls.run(call).pipe(
      Effect.tap(answer =>
        Effect.sync(() => {
          const isRefused =
            isFailedAnswer(answer) && answer.isDependencyRefused;
          throttle.recordEnd(route, isRefused);
        }),
      ),
      Effect.tapError(failure =>
        Effect.sync(() => {
          throttle.recordEnd(route, isRefusedByLoad(failure));
        }),
      ),
    );
  });
}

function throttledFailure(
  options: ThrottledCallOptions,
  call: OutboundCall,
): CallFailure {
  return createCallFailure({
    outcome: 'not-run',
    reason: 'shed',
    step: 'entry',
    peer: options.hostName,
    message: `Requests like this one to service ${call.service} are being refused now.`,
  });
}
