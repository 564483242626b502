/**
 * Distinguishes a crash of the local upstream from a lost connection, and reports the
 * requests that were in progress.
 *
 * Only the node beside the upstream can do this: to the callers of these requests, a
 * crash looks like a connection reset.
 */
import type {Readable} from 'node:stream';
import type {ProbeResult} from '../connection/upstream_probe.js';
import {waitUntilClosed} from '../connection/received_response.js';
import type {FingerprintedRequest} from '../connection/request_fingerprint.js';
import type {UpstreamResult} from '../connection/upstream_result.js';
import {isCancelCause} from '../protocol/cancel_cause.js';
import {createExecutionsInProgress} from '../process/quarantine/executions_in_progress.js';

/** A request that was dispatched to the upstream. */
export interface DispatchedRequest extends FingerprintedRequest {
  readonly attemptId: string;
  /** Id of this start of the upstream. */
  readonly upstreamId: string;
  readonly startedMillis: number;
}

/** Detects crashes of the local upstream. */
export interface CrashDetector {
  /** Records that a request is dispatched. */
  begin(request: DispatchedRequest): void;
  /**
   * Records the end of a request; true if the upstream crashed while executing it. False
   * at once if the rest of the response body is still to come: a crash before its end is
   * reported to `onCrash` only.
   */
  end(
    request: DispatchedRequest,
    result: UpstreamResult,
  ): boolean | Promise<boolean>;
}

/** Dependencies of the crash detector. */
export interface CrashDetectorOptions {
  /** Checks whether the upstream still accepts connections. */
  readonly probe: () => Promise<ProbeResult>;
  readonly nowMillis: () => number;
  /** Called when the upstream crashed while executing these requests. */
  readonly onCrash: (inProgress: readonly DispatchedRequest[]) => void;
}

/** Creates the crash detector of a node. */
export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const executions = createExecutionsInProgress<DispatchedRequest>(
    options.nowMillis,
  );
  let pendingProbe: Promise<boolean> | undefined;
  /** Requests already reported, so that each counts in one crash only. */
  const reported = new WeakSet<DispatchedRequest>();

  /** Requests dispatched during the probe are left out: they never reached the crashed process. */
  const probeForCrash = async (): Promise<boolean> => {
    const candidates = executions.current();
    const result = await options.probe();
    if (result !== 'refused') return false;
    const inProgress = candidates.filter(executions.has);
    for (const request of inProgress) reported.add(request);
    options.onCrash(inProgress);
    return true;
  };

  /** Shares one probe between connections that are lost at the same time. */
  const probeForCrashOnce = (): Promise<boolean> => {
    pendingProbe ??= probeForCrash().finally(() => {
      pendingProbe = undefined;
    });
    return pendingProbe;
  };

  const endLostConnection = async (
    request: DispatchedRequest,
  ): Promise<boolean> => {
    const hasCrashed = reported.has(request) || (await probeForCrashOnce());
    executions.end(request);
    return hasCrashed;
  };

  /** The request stays in progress until the rest of the response body has arrived. */
  const endAfterBody = async (
    request: DispatchedRequest,
    rest: Readable,
  ): Promise<void> => {
    if (await waitUntilClosed(rest)) executions.end(request);
    else await endLostConnection(request);
  };

  return {
    begin: executions.begin,
    end: (request, result) => {
      if (result.kind === 'answered' && result.answer.bodyRest !== undefined) {
        void endAfterBody(request, result.answer.bodyRest);
        return false;
      }
      if (result.kind === 'unknown' && result.reason === 'connection-lost') {
        return endLostConnection(request);
      }
      const isCancelled =
        result.kind === 'unknown' && isCancelCause(result.reason);
      if (isCancelled) executions.cancel(request);
      else executions.end(request);
      return false;
    },
  };
}
