/**
 * Logs and counts what the local upstream does on its connections.
 */
import type {UpstreamSenderEvents} from '../connection/upstream_sender.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';

/** Where the events are recorded. */
export interface UpstreamEventsOptions {
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
}

/** Creates the listeners of a sender. */
export function createUpstreamEvents({
  log,
  metrics,
}: UpstreamEventsOptions): UpstreamSenderEvents {
  return {
    onOrderRejected: ({attemptId, upstreamId}, rejection) => {
      log.logRequestEvent('order-rejected', {
        requestId: attemptId,
        upstream: upstreamId,
        ...rejection,
      });
    },
    onRepeatedDispatch: ({attemptId, upstreamId}, dispatch) => {
      log.logRequestEvent('dispatched-again', {
        requestId: attemptId,
        upstream: upstreamId,
        ...dispatch,
        earlierConnectionIds: dispatch.earlierConnectionIds.join(' '),
      });
    },
    onInvalidHead: ({attemptId, upstreamId}, {statusCode}) => {
      metrics.recordInvalidHead();
      log.logRequestEvent('invalid-response-head', {
        requestId: attemptId,
        upstream: upstreamId,
        statusCode,
      });
    },
    onUnframedEnd: ({attemptId, upstreamId}, ended) => {
      metrics.recordUnframedEnd(ended.end);
      log.logRequestEvent('unframed-end', {
        requestId: attemptId,
        upstream: upstreamId,
        ...ended,
      });
    },
    onExcessBytes: ({attemptId, upstreamId}, connectionId) => {
      metrics.recordExcessBytes();
      log.logRequestEvent('excess-bytes', {
        requestId: attemptId,
        upstream: upstreamId,
        connectionId,
      });
    },
  };
}
