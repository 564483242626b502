/**
 * Records and logs what upstreams announce in their responses.
 *
 * The node on the host of an upstream respects its announcements for all nodes.
 * Other nodes also record which upstreams are leaving, since that node may
 * restart meanwhile.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createIntervalTimer} from '../base/lifecycle.js';
import type {
  AnnouncementHeaders,
  LimitAnnouncement,
} from '../connection/announcements.js';
import {decodeAnnouncements} from '../connection/announcements.js';
import type {ExecutionResult} from '../connection/execution.js';
import type {AnnouncedLimit} from '../process/admission/announced_limit.js';
import type {DispatchPacer} from '../process/admission/dispatch_pacer.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {
  AnnouncementObserver,
  AnnouncementSource,
} from '../request/announcement_observer.js';
import type {LocalCall} from '../request/local_call.js';

/** Dependencies of announcement handling. */
export interface AnnouncementHandlingOptions {
  readonly wireHeaders: AnnouncementHeaders;
  readonly directory: UpstreamDirectory;
  readonly announcedLimit: AnnouncedLimit;
  readonly pacer: Pick<DispatchPacer, 'recordResponse'>;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
}

/** Handles the announcements of upstreams. */
export interface AnnouncementHandling extends AnnouncementObserver, Disposable {
  /** Records whether the upstream of an attempt has announced that it is leaving. */
  observeAttempt(result: ExecutionResult, entry: UpstreamEntry): void;
  /** Logs a request that was not dispatched, if a limit applies. */
  logRefusal(call: LocalCall, reason: HopReason): void;
  /** State for operators. */
  state(): AnnouncementState;
}

/** Announcements as shown to operators. */
export interface AnnouncementState {
  /** Requests per second; `null` if the upstream announces no limit. */
  readonly limitPerSecond: number | null;
  /** Time since the last response of the upstream. */
  readonly ageMillis: number;
  /** Listed upstreams that have announced that they are leaving. */
  readonly leavingUpstreams: readonly string[];
}

/** Interval at which requests to a limited upstream are logged. */
const LOAD_INTERVAL_MILLIS = 5000;

/** Reasons for which a limit may refuse a request. */
const LIMIT_REASONS: ReadonlySet<HopReason> = new Set([
  'rate-limited',
  'too-late',
]);

const MILLIS_PER_SECOND = 1000;

/** Requests dispatched while a limit applies. */
interface LimitedLoad {
  readonly sinceMillis: number;
  firstAttemptsCount: number;
  retriesCount: number;
  callsCount: number;
}

/** How a node has learned that an upstream is leaving. */
type LeavingSource =
  | 'own-upstream'
  /** A response that this node passes on to its caller. */
  | 'response'
  /** A refusal by the node of the upstream. */
  | 'refusal';

/** Starts the handling of announcements in a node. */
export function startAnnouncementHandling(
  options: AnnouncementHandlingOptions,
): AnnouncementHandling {
  const {directory, log, metrics, nowMillis} = options;
  const limit = options.announcedLimit;
  let load = createLimitedLoad(nowMillis());

  const logLoad = (): void => {
    const {sinceMillis, ...counts} = load;
    load = createLimitedLoad(nowMillis());
    if (limit.perSecond === undefined) return;
    log.logStateEvent('upstream-limit-load', {
      limitPerSecond: limit.perSecond,
      intervalMillis: Math.round(load.sinceMillis - sinceMillis),
      ...counts,
    });
  };

  const dispatchedPerSecond = (): number => {
    const {firstAttemptsCount, retriesCount, callsCount} = load;
    const dispatchedCount = firstAttemptsCount + retriesCount + callsCount;
    const elapsedMillis = Math.max(1, nowMillis() - load.sinceMillis);
    return (dispatchedCount * MILLIS_PER_SECOND) / elapsedMillis;
  };

  const observeLimit = (
    announcement: LimitAnnouncement,
    {upstreamId, sentMillis}: AnnouncementSource,
  ): void => {
    if (announcement.kind === 'invalid') {
      log.logRequestEvent('upstream-limit-invalid', {
        upstream: upstreamId,
        text: announcement.text,
      });
      return;
    }
    const before = limit.perSecond;
    const next =
      announcement.kind === 'limited' ? announcement.perSecond : undefined;
    if (!limit.observe(next, sentMillis)) return;
    load = createLimitedLoad(nowMillis());
    metrics.setGauge('announced_limit', next ?? -1);
    log.logRequestEvent('upstream-limit', {
      upstream: upstreamId,
      limitPerSecond: next ?? null,
      previousPerSecond: before ?? null,
    });
  };

  const markLeaving = (
    upstreamId: string,
    learnedFrom: LeavingSource,
  ): void => {
    if (!directory.markLeaving(upstreamId)) return;
    log.logStateEvent('upstream-leaving', {upstream: upstreamId, learnedFrom});
  };

  const timer = createIntervalTimer(LOAD_INTERVAL_MILLIS, logLoad);
  return {
    recordDispatch: ({attemptId, origin}) => {
      if (limit.perSecond === undefined) return;
      if (origin.isRepeat) load.retriesCount += 1;
      else if (attemptId === origin.rootId) load.firstAttemptsCount += 1;
      else load.callsCount += 1;
    },
    observe: ({limit: announcement, isLeaving}, source) => {
      options.pacer.recordResponse();
      observeLimit(announcement, source);
      if (!isLeaving || source.upstreamId === undefined) return;
      markLeaving(source.upstreamId, 'own-upstream');
    },
    observeAttempt: (result, {id}) => {
      if (result.kind === 'refused' && result.reason === 'leaving') {
        markLeaving(id, 'refusal');
      }
      if (result.kind !== 'answered') return;
      const {headers} = result.answer;
      const {isLeaving} = decodeAnnouncements(headers, options.wireHeaders);
      if (isLeaving) markLeaving(id, 'response');
    },
    logRefusal: ({attemptId, origin, upstreamId}, reason) => {
      if (limit.perSecond === undefined) return;
      if (!LIMIT_REASONS.has(reason)) return;
      log.logRequestEvent('upstream-limit-refusal', {
        requestId: attemptId,
        rootId: origin.rootId,
        upstream: upstreamId,
        reason,
        limitPerSecond: limit.perSecond,
        dispatchedPerSecond: Math.round(dispatchedPerSecond() * 10) / 10,
        announcedAgeMillis: Math.round(limit.ageMillis()),
      });
    },
    state: () => ({
      limitPerSecond: limit.perSecond ?? null,
      ageMillis: Math.round(limit.ageMillis()),
      leavingUpstreams: directory.leavingIds(),
    }),
    dispose: timer.dispose,
  };
}

function createLimitedLoad(sinceMillis: number): LimitedLoad {
  return {sinceMillis, firstAttemptsCount: 0, retriesCount: 0, callsCount: 0};
}
