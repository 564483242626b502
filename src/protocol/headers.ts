/**
 * Header names on the caller, upstream and peer interfaces, in lower case as
 * Node's `http` delivers them.
 */
export const HEADER = {
  /** Caller: identifies one logical request across its repeats. */
  idempotencyKey: 'idempotency-key',
  /** Caller: milliseconds the caller is going to wait. */
  timeoutMillis: 'fulmarhollow-timeout-ms',
  /** Answer: `not-run`, `unknown` or `ran`. */
  outcome: 'fulmarhollow-outcome',
  /** Answer: failure reason. */
  reason: 'fulmarhollow-reason',
  /** Answer: stage at which a failure arose. */
  step: 'fulmarhollow-step',
  /** Answer: host at which a failure arose. */
  peer: 'fulmarhollow-peer',
  /** Answer: retries spent on the request over the whole chain. */
  retriesSpent: 'fulmarhollow-retries-spent',
  /** Answer: version of the policy the request was served under. */
  policyVersion: 'fulmarhollow-policy-version',
  /** Answer: identifier of the request, for logs. */
  requestId: 'fulmarhollow-request-id',
  /**
   * Upstream: opaque token of the request in progress. The upstream copies it
   * to every call it makes on behalf of that request.
   */
  context: 'fulmarhollow-context',
  /** Upstream: milliseconds left until the deadline. */
  deadlineLeft: 'fulmarhollow-deadline-left-ms',
  /** Peer: encoded call context, see call_context.ts. */
  call: 'fulmarhollow-call',
  /** Peer answer: encoded call result, see call_result.ts. */
  result: 'fulmarhollow-result',
  /** Upstream answer: `not-run` when the upstream refused before any effect. */
  upstreamOutcome: 'fulmarhollow-upstream-outcome',
  retryAfter: 'retry-after',
  contentLength: 'content-length',
  contentDigest: 'content-digest',
  traceParent: 'traceparent',
} as const;
