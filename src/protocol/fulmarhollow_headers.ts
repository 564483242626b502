/**
 * Header names of the fulmarhollow interface to callers and upstreams.
 */
import type {WireHeaders} from './wire_headers.js';

/** Lower-case header names. */
export const FULMARHOLLOW_HEADERS: Required<
  Omit<WireHeaders, 'signature' | 'upstreamId'>
> = {
  attemptId: 'fulmarhollow-request-id',
  isAttemptIdRequired: false,
  isAttemptIdEchoed: false,
  timeoutMillis: 'fulmarhollow-timeout-ms',
  expectedUpstreamId: 'fulmarhollow-host',
  notExecuted: 'fulmarhollow-not-run',
  requestLimit: 'fulmarhollow-limit',
  leaving: 'fulmarhollow-leaving',
  callerService: 'fulmarhollow-caller',
  organisation: 'fulmarhollow-organisation',
  notes: {
    outcome: 'fulmarhollow-outcome',
    reason: 'fulmarhollow-reason',
    configurationVersion: 'fulmarhollow-policy-version',
    repeatsCount: 'fulmarhollow-repeats',
  },
};
