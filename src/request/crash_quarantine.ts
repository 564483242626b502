/**
 * Keeps requests that crash the upstreams that run them from the upstreams.
 *
 * Load pattern: one request of a caller that comes again and again at any node,
 * among many that were in progress beside it. After enough crashes it is not run
 * any more. Before that, the requests that were in progress under several crashes
 * run one at a time at each upstream, so that the next crash names one of them, and
 * not until the upstreams that crashed last can be there again. Those of one crash
 * run as before: upstreams that crash by themselves leave many of these.
 */
import {waitUntilClosed} from '../connection/received_response.js';
import type {
  FingerprintedRequest,
  RequestFingerprints,
} from '../connection/request_fingerprint.js';
import {computeFingerprints} from '../connection/request_fingerprint.js';
import type {UpstreamResult} from '../connection/upstream_sender.js';
import type {CrashEvidence} from '../process/quarantine/crash_evidence.js';
import type {SemaphoreWait} from '../process/quarantine/semaphore.js';
import {createSemaphore} from '../process/quarantine/semaphore.js';

/** A request as decisions and their log lines see it. */
export interface QuarantineRequest extends FingerprintedRequest {
  readonly attemptId: string;
}

/** Decides for the requests of one node. */
export interface CrashQuarantine {
  /** Whether a request must not be sent to any upstream. */
  holds(request: QuarantineRequest): boolean;
  /**
   * Admits a request to the own upstream, or returns why not; a suspect may have to
   * wait for its turn. Ended by `end` once it was admitted.
   */
  admit(
    request: QuarantineRequest,
    wait: SemaphoreWait,
  ): CrashRefusal | undefined | Promise<CrashRefusal | undefined>;
  /** Ends an execution that was admitted; left out, it was not handed over. */
  end(request: QuarantineRequest, end?: UpstreamResult): void;
  /** Crashes under a request so far. */
  crashesCount(request: FingerprintedRequest): number;
}

/** Why a request is not handed over. */
export type CrashRefusal = 'quarantined' | 'isolated';

/** What decisions need. */
export interface CrashQuarantineOptions {
  readonly evidence: CrashEvidence;
  /** A request is held or refused. */
  readonly onRefused: (
    request: QuarantineRequest,
    fingerprints: RequestFingerprints,
    reason: CrashRefusal,
  ) => void;
  /** A request that was suspected was answered. */
  readonly onCleared: (
    request: QuarantineRequest,
    fingerprints: RequestFingerprints,
  ) => void;
}

/** Crashes after which a request is tried alone, and not retried by a node. */
export const ISOLATED_CRASHES_COUNT = 2;

/** Time after its last crash in which an isolated request is not tried. */
const ISOLATED_PAUSE_MILLIS = 3000;

const STATUS_SERVER_ERROR = 500;

/** Client errors that an upstream may answer before it runs a request. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 425, 429]);

/** Creates the decisions of one node. */
export function createCrashQuarantine(
  options: CrashQuarantineOptions,
): CrashQuarantine {
  const {evidence} = options;
  const fingerprints = new WeakMap<FingerprintedRequest, RequestFingerprints>();
  const semaphore = createSemaphore(1);
  let isolated: QuarantineRequest | undefined;

  const identify = (request: FingerprintedRequest): RequestFingerprints => {
    const known = fingerprints.get(request) ?? computeFingerprints(request);
    fingerprints.set(request, known);
    return known;
  };
  const listOf = (request: FingerprintedRequest): readonly string[] => {
    const {content, contentAndCaller} = identify(request);
    return [content, contentAndCaller];
  };
  const crashesCount = (request: FingerprintedRequest): number =>
    evidence.isEmpty ? 0 : evidence.crashesCount(listOf(request));

  const refusalOf = (request: QuarantineRequest): CrashRefusal | undefined => {
    const list = listOf(request);
    if (evidence.isQuarantined(list)) return 'quarantined';
    const isPaused = evidence.lastCrashAgeMillis(list) < ISOLATED_PAUSE_MILLIS;
    return isPaused ? 'isolated' : undefined;
  };

  const refuse = (
    request: QuarantineRequest,
    reason: CrashRefusal,
  ): CrashRefusal => {
    options.onRefused(request, identify(request), reason);
    return reason;
  };

  const endTurn = (request: QuarantineRequest): void => {
    if (isolated !== request) return;
    isolated = undefined;
    semaphore.release();
  };

  /** More may be known about the request when its turn comes. */
  const admitAfter = async (
    request: QuarantineRequest,
    turn: Promise<boolean>,
  ): Promise<CrashRefusal | undefined> => {
    if (!(await turn)) return refuse(request, 'isolated');
    isolated = request;
    const reason = refusalOf(request);
    if (reason === undefined) return undefined;
    endTurn(request);
    return refuse(request, reason);
  };

  const conclude = (request: QuarantineRequest, end?: UpstreamResult): void => {
    endTurn(request);
    if (evidence.isEmpty || end?.kind !== 'answered') return;
    if (!showsThatItRan(end.answer.statusCode)) return;
    if (!evidence.clear(listOf(request))) return;
    options.onCleared(request, identify(request));
  };

  return {
    holds: request => {
      if (evidence.isEmpty || !evidence.isQuarantined(listOf(request))) {
        return false;
      }
      refuse(request, 'quarantined');
      return true;
    },
    admit: (request, wait) => {
      if (crashesCount(request) < ISOLATED_CRASHES_COUNT) return undefined;
      const reason = refusalOf(request);
      if (reason !== undefined) return refuse(request, reason);
      const turn = semaphore.acquire(wait);
      if (turn !== true) return admitAfter(request, turn);
      isolated = request;
      return undefined;
    },
    end: (request, end) => {
      const rest = end?.kind === 'answered' ? end.answer.bodyRest : undefined;
      if (rest === undefined) {
        conclude(request, end);
        return;
      }
      void waitUntilClosed(rest).then(isWhole => {
        conclude(request, isWhole ? end : undefined);
      });
    },
    crashesCount,
  };
}

/** A request that crashes its upstream ends without an answer. */
function showsThatItRan(statusCode: number): boolean {
  return statusCode < STATUS_SERVER_ERROR && !NOT_RUN_STATUSES.has(statusCode);
}
