/**
 * Quarantines requests that crash the upstreams that execute them.
 *
 * Load pattern: a caller retries the same crashing request at any node, while many
 * other requests are in progress beside it. After enough crashes the request is refused.
 * Before that, requests that were in progress during several crashes are isolated: each
 * upstream executes one of them at a time, so that the next crash identifies the cause,
 * and only after a pause in which the crashed upstreams can restart. Requests of a single
 * crash are not isolated, since upstreams that crash for other reasons leave many of them.
 */
import {waitUntilClosed} from '../connection/received_response.js';
import type {
  FingerprintedRequest,
  RequestFingerprints,
} from '../connection/request_fingerprint.js';
import {computeFingerprints} from '../connection/request_fingerprint.js';
import type {UpstreamResult} from '../connection/upstream_result.js';
import type {CrashEvidence} from '../process/quarantine/crash_evidence.js';
import type {SemaphoreWait} from '../process/quarantine/semaphore.js';
import {createSemaphore} from '../process/quarantine/semaphore.js';

/** A request with the fields that quarantine decisions and their log lines use. */
export interface QuarantineRequest extends FingerprintedRequest {
  readonly attemptId: string;
}

/** Quarantine decisions of a node. */
export interface CrashQuarantine {
  /** Returns true and reports a refusal if the request must not be sent to any upstream. */
  holds(request: QuarantineRequest): boolean;
  /**
   * Admits a request to the local upstream, or returns the reason for a refusal. An
   * isolated request may wait until no other one is executed. Call `end` for each admitted
   * request.
   */
  admit(
    request: QuarantineRequest,
    wait: SemaphoreWait,
  ): CrashRefusal | undefined | Promise<CrashRefusal | undefined>;
  /** Ends an admitted request; `result` is unset if it was not dispatched. */
  end(request: QuarantineRequest, result?: UpstreamResult): void;
  /** Number of crashes so far with this request in progress. */
  crashesCount(request: FingerprintedRequest): number;
}

/** Why a request is not dispatched. */
export type CrashRefusal = 'quarantined' | 'isolated';

/** Dependencies of the quarantine. */
export interface CrashQuarantineOptions {
  readonly evidence: CrashEvidence;
  /** Called when a request is refused. */
  readonly onRefused: (
    request: QuarantineRequest,
    fingerprints: RequestFingerprints,
    reason: CrashRefusal,
  ) => void;
  /** Called when a suspected request was executed without a crash. */
  readonly onCleared: (
    request: QuarantineRequest,
    fingerprints: RequestFingerprints,
  ) => void;
}

/** Crashes after which a request is isolated, and no longer retried by nodes. */
export const ISOLATED_CRASHES_COUNT = 2;

/** Pause after its last crash before an isolated request is executed again. */
const ISOLATED_PAUSE_MILLIS = 3000;

const STATUS_SERVER_ERROR = 500;

/** Client errors that an upstream may return without executing the request. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 425, 429]);

/** Creates the quarantine of a node. */
export function createCrashQuarantine(
  options: CrashQuarantineOptions,
): CrashQuarantine {
  const {evidence} = options;
  const fingerprints = new WeakMap<FingerprintedRequest, RequestFingerprints>();
  const semaphore = createSemaphore(1);
  let isolated: QuarantineRequest | undefined;

  const cachedFingerprintsOf = (
    request: FingerprintedRequest,
  ): RequestFingerprints => {
    const known = fingerprints.get(request) ?? computeFingerprints(request);
    fingerprints.set(request, known);
    return known;
  };
  const fingerprintListOf = (
    request: FingerprintedRequest,
  ): readonly string[] => {
    const {content, contentAndCaller} = cachedFingerprintsOf(request);
    return [content, contentAndCaller];
  };
  const crashesCount = (request: FingerprintedRequest): number =>
    evidence.isEmpty ? 0 : evidence.crashesCount(fingerprintListOf(request));

  const refusalOf = (request: QuarantineRequest): CrashRefusal | undefined => {
    const list = fingerprintListOf(request);
    if (evidence.isQuarantined(list)) return 'quarantined';
    const isPaused = evidence.lastCrashAgeMillis(list) < ISOLATED_PAUSE_MILLIS;
    return isPaused ? 'isolated' : undefined;
  };

  const refuse = (
    request: QuarantineRequest,
    reason: CrashRefusal,
  ): CrashRefusal => {
    options.onRefused(request, cachedFingerprintsOf(request), reason);
    return reason;
  };

  const releaseIsolation = (request: QuarantineRequest): void => {
    if (isolated !== request) return;
    isolated = undefined;
    semaphore.release();
  };

  /** Checks the request again after the wait, since more crashes may have been reported. */
  const admitAfterWait = async (
    request: QuarantineRequest,
    acquired: Promise<boolean>,
  ): Promise<CrashRefusal | undefined> => {
    if (!(await acquired)) return refuse(request, 'isolated');
    isolated = request;
    const reason = refusalOf(request);
    if (reason === undefined) return undefined;
    releaseIsolation(request);
    return refuse(request, reason);
  };

  const recordOutcome = (
    request: QuarantineRequest,
    result?: UpstreamResult,
  ): void => {
    releaseIsolation(request);
    if (evidence.isEmpty || result?.kind !== 'answered') return;
    if (!provesExecution(result.answer.statusCode)) return;
    if (!evidence.clear(fingerprintListOf(request))) return;
    options.onCleared(request, cachedFingerprintsOf(request));
  };

  return {
    holds: request => {
      if (
        evidence.isEmpty ||
        !evidence.isQuarantined(fingerprintListOf(request))
      ) {
        return false;
      }
      refuse(request, 'quarantined');
      return true;
    },
    admit: (request, wait) => {
      if (crashesCount(request) < ISOLATED_CRASHES_COUNT) return undefined;
      const reason = refusalOf(request);
      if (reason !== undefined) return refuse(request, reason);
      const acquired = semaphore.acquire(wait);
      if (acquired !== true) return admitAfterWait(request, acquired);
      isolated = request;
      return undefined;
    },
    end: (request, result) => {
      const rest =
        result?.kind === 'answered' ? result.answer.bodyRest : undefined;
      if (rest === undefined) {
        recordOutcome(request, result);
        return;
      }
      void waitUntilClosed(rest).then(isWhole => {
        recordOutcome(request, isWhole ? result : undefined);
      });
    },
    crashesCount,
  };
}

/**
 * Whether a response with this status shows that the request was executed. A request that
 * crashes its upstream gets no response, so such a response clears it.
 */
function provesExecution(statusCode: number): boolean {
  return statusCode < STATUS_SERVER_ERROR && !NOT_RUN_STATUSES.has(statusCode);
}
