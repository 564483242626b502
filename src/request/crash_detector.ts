/**
 * Distinguishes a crash of the own upstream from the loss of a connection, and names
 * the requests that were in progress.
 *
 * Only the node beside an upstream can: to the callers of these requests a crash looks
 * like a connection that was reset.
 */
import type {Readable} from 'node:stream';
import type {ProbeResult} from '../connection/upstream_probe.js';
import {waitUntilClosed} from '../connection/received_response.js';
import type {FingerprintedRequest} from '../connection/request_fingerprint.js';
import type {UpstreamResult} from '../connection/upstream_sender.js';
import {createExecutionsInProgress} from '../process/quarantine/executions_in_progress.js';

/** A request that the upstream was handed. */
export interface DispatchedRequest extends FingerprintedRequest {
  readonly attemptId: string;
  /** Id of the start of the upstream. */
  readonly upstreamId: string;
  readonly startedMillis: number;
}

/** Detects crashes of one upstream. */
export interface CrashDetector {
  /** Records a request that is dispatched now. */
  begin(request: DispatchedRequest): void;
  /** Records its end; true if the upstream crashed under it. */
  end(
    request: DispatchedRequest,
    end: UpstreamResult,
  ): boolean | Promise<boolean>;
}

/** What detection needs. */
export interface CrashDetectorOptions {
  /** Asks whether the upstream still listens. */
  readonly probe: () => Promise<ProbeResult>;
  readonly nowMillis: () => number;
  /** The upstream has crashed while it worked on these requests. */
  readonly onCrash: (inProgress: readonly DispatchedRequest[]) => void;
}

/** Creates the detector of one upstream. */
export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const executions = createExecutionsInProgress<DispatchedRequest>(
    options.nowMillis,
  );
  let verdict: Promise<boolean> | undefined;
  /** Requests that were named already: each counts in one crash. */
  const named = new WeakSet<DispatchedRequest>();

  /** Requests handed over during the probe never reached the crashed process. */
  const judge = async (): Promise<boolean> => {
    const candidates = executions.current();
    const result = await options.probe();
    if (result !== 'refused') return false;
    const inProgress = candidates.filter(executions.has);
    for (const request of inProgress) named.add(request);
    options.onCrash(inProgress);
    return true;
  };

  /** Connections lost at the same moment share one probe. */
  const judgeOnce = (): Promise<boolean> => {
    verdict ??= judge().finally(() => {
      verdict = undefined;
    });
    return verdict;
  };

  const endLost = async (request: DispatchedRequest): Promise<boolean> => {
    const hasCrashed = named.has(request) || (await judgeOnce());
    executions.end(request);
    return hasCrashed;
  };

  /** The upstream works on until it has sent the rest of its answer. */
  const endWithRest = async (
    request: DispatchedRequest,
    rest: Readable,
  ): Promise<void> => {
    if (await waitUntilClosed(rest)) executions.end(request);
    else await endLost(request);
  };

  return {
    begin: executions.begin,
    end: (request, end) => {
      if (end.kind === 'answered' && end.answer.bodyRest !== undefined) {
        void endWithRest(request, end.answer.bodyRest);
        return false;
      }
      if (end.kind === 'unknown' && end.reason === 'connection-lost') {
        return endLost(request);
      }
      const isCancelled = end.kind === 'unknown' && end.reason === 'cancelled';
      if (isCancelled) executions.cancel(request);
      else executions.end(request);
      return false;
    },
  };
}
