/**
 * Creates and connects the components that handle requests that crash upstreams.
 */
import {randomBytes} from 'node:crypto';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import {computeFingerprints} from '../connection/request_fingerprint.js';
import {probeUpstream} from '../connection/upstream_probe.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {
  CrashEvidence,
  CrashSuspect,
} from '../process/quarantine/crash_evidence.js';
import {createCrashEvidence} from '../process/quarantine/crash_evidence.js';
import type {CrashGossip} from '../process/quarantine/crash_gossip.js';
import {
  COMPARE_INTERVAL_MILLIS,
  createCrashGossip,
} from '../process/quarantine/crash_gossip.js';
import type {Endpoint} from '../process/settings/node_settings.js';
import type {
  CrashDetector,
  DispatchedRequest,
} from '../request/crash_detector.js';
import {createCrashDetector} from '../request/crash_detector.js';
import type {CrashQuarantine} from '../request/crash_quarantine.js';
import {createCrashQuarantine} from '../request/crash_quarantine.js';

/** Dependencies of crash handling. */
export interface CrashHandlingOptions {
  /** Endpoint of the upstream of this host. */
  readonly upstream: () => Endpoint;
  /** Endpoints of all other nodes. */
  readonly peers: () => readonly Endpoint[];
  readonly send: (peer: Endpoint, report: Buffer) => void;
  /** Called when the local upstream has crashed. */
  readonly onCrash: () => void;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Components that handle crashes in a node. */
export interface CrashHandling extends Disposable {
  readonly evidence: CrashEvidence;
  readonly gossip: CrashGossip;
  readonly detector: CrashDetector;
  readonly quarantine: CrashQuarantine;
}

const CRASH_ID_BYTES = 8;

/** Starts crash handling in a node. */
export function startCrashHandling(
  options: CrashHandlingOptions,
): CrashHandling {
  const {log, metrics, nowMillis, random} = options;
  const store = createDisposableStore();
  const evidence = createCrashEvidence({
    nowMillis,
    onQuarantined: suspect => {
      log.logStateEvent('request-quarantined', describeSuspect(suspect));
    },
    onReleased: fingerprint => {
      log.logStateEvent('request-released', {fingerprint});
    },
  });
  const gossip = createCrashGossip({
    evidence,
    peers: options.peers,
    send: options.send,
    onMalformed: () => {
      log.logRequestEvent('crash-report-malformed', {});
    },
    nowMillis,
    random,
  });
  const detector = createCrashDetector({
    probe: () => probeUpstream(options.upstream()),
    nowMillis,
    onCrash: inProgress => {
      options.onCrash();
      recordCrash(options, {evidence, gossip}, inProgress);
    },
  });
  const quarantine = createCrashQuarantine({
    evidence,
    onRefused: (request, {content, contentAndCaller}, reason) => {
      metrics.recordCrashRefusal(reason);
      const fingerprints = [content, contentAndCaller];
      log.logRequestEvent('crash-refusal', {
        requestId: request.attemptId,
        reason,
        fingerprint: content,
        callerFingerprint: contentAndCaller,
        crashesCount: evidence.crashesCount(fingerprints),
        lastCrashAgeMillis: Math.round(
          evidence.lastCrashAgeMillis(fingerprints),
        ),
      });
    },
    onCleared: (request, {content, contentAndCaller}) => {
      metrics.recordCrashClearance();
      log.logRequestEvent('crash-suspicion-cleared', {
        requestId: request.attemptId,
        fingerprint: content,
        callerFingerprint: contentAndCaller,
      });
    },
  });
  store.add(
    createIntervalTimer(COMPARE_INTERVAL_MILLIS, () => {
      evidence.expire();
      metrics.setGauge('quarantined_requests', evidence.quarantinedCount);
      gossip.tick();
    }),
  );
  return {evidence, gossip, detector, quarantine, dispose: store.dispose};
}

/** Reports a crash to other nodes and logs each request that may have caused it. */
function recordCrash(
  {log, metrics, nowMillis}: CrashHandlingOptions,
  {evidence, gossip}: Pick<CrashHandling, 'evidence' | 'gossip'>,
  inProgress: readonly DispatchedRequest[],
): void {
  const crashId = randomBytes(CRASH_ID_BYTES).toString('hex');
  const upstreamId = inProgress[0]?.upstreamId ?? '';
  metrics.recordUpstreamCrash();
  log.logStateEvent('upstream-crashed', {
    crashId,
    upstream: upstreamId,
    inProgressCount: inProgress.length,
  });
  const requests = inProgress.map(request => ({
    request,
    fingerprints: computeFingerprints(request),
  }));
  gossip.report({
    crashId,
    upstreamId,
    ageMillis: 0,
    fingerprints: requests.flatMap(({fingerprints}) => [
      fingerprints.content,
      fingerprints.contentAndCaller,
    ]),
    clearedFingerprints: [],
  });
  for (const {request, fingerprints} of requests) {
    const {content, contentAndCaller} = fingerprints;
    log.logRequestEvent('in-progress-at-crash', {
      requestId: request.attemptId,
      crashId,
      fingerprint: content,
      callerFingerprint: contentAndCaller,
      crashesCount: evidence.crashesCount([content, contentAndCaller]),
      ageMillis: Math.round(nowMillis() - request.startedMillis),
    });
  }
}

function describeSuspect({fingerprint, crashes}: CrashSuspect) {
  return {
    fingerprint,
    crashesCount: crashes.length,
    crashIds: crashes.map(({crashId}) => crashId).join(' '),
    upstreams: crashes.map(({upstreamId}) => upstreamId).join(' '),
    agesMillis: crashes.map(({ageMillis}) => ageMillis).join(' '),
  };
}
