/**
 * Wiring of the quotas of organisations in one node.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createIntervalTimer} from '../base/lifecycle.js';
import type {QuestionEnd} from '../connection/question_links.js';
import {createQuestionLinks} from '../connection/question_links.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import {createCoordinatorChoice} from '../process/quota/coordinator_choice.js';
import {createQuotaCoordinator} from '../process/quota/quota_coordinator.js';
import type {
  QuotaExchange,
  ReportEnd,
} from '../process/quota/quota_exchange.js';
import {
  createQuotaExchange,
  MAX_WAIT_MILLIS,
  REPORT_INTERVAL_MILLIS,
} from '../process/quota/quota_exchange.js';
import type {KnownAllowance} from '../process/quota/quota_gate.js';
import {createQuotaGate} from '../process/quota/quota_gate.js';
import {createZoneReach} from '../process/quota/zone_reach.js';
import type {NodeSettings} from '../process/settings/node_settings.js';
import {FRAME_KIND} from '../protocol/hop_frames.js';
import {
  decodeQuotaAllowances,
  decodeQuotaReport,
  encodeQuotaAllowances,
  encodeQuotaReport,
} from '../protocol/quota_codec.js';

/** What the handling needs. */
export interface QuotaHandlingOptions {
  readonly settings: () => NodeSettings;
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly log: DecisionLog;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Quotas of one node. */
export interface QuotaHandling extends Disposable {
  readonly exchange: QuotaExchange;
  /** Answers a report of another node; `undefined` if it cannot be read. */
  answer(report: Buffer): Buffer | undefined;
  /** State for operators. */
  state(): QuotaState;
}

/** What operators see. */
export interface QuotaState {
  /** Organisations whose quotas this node coordinates. */
  readonly coordinatedCount: number;
  /** Part of the fleet that this node can reach. */
  readonly reachableRatio: number;
  readonly limited: readonly KnownAllowance[];
}

const REPORTER_ID_BYTES = 6;

/** Interval at which what has aged is dropped. */
const EXPIRE_INTERVAL_MILLIS = 1000;

/** Starts the quotas of one node. */
export function startQuotaHandling(
  options: QuotaHandlingOptions,
): QuotaHandling {
  const {settings, configuration, directory, log, nowMillis, random} = options;
  const store = createDisposableStore();
  const ownHostKey = settings().hostKey;
  const bound = () => settings().quotaBound;
  const links = createQuestionLinks({
    answerKind: FRAME_KIND.quotas,
    nowMillis,
  });
  store.add(links);
  const reach = createZoneReach(nowMillis);
  const choice = createCoordinatorChoice<UpstreamEntry>({
    hosts: () => coordinatorsAmong(directory),
    ownHostKey,
    reach,
    nowMillis,
    random,
  });
  const coordinator = createQuotaCoordinator({
    quotaOf: name =>
      configuration.current()?.organisations?.findByName(name)?.quota,
    bound,
    isFirstChoice: choice.isFirstChoice,
    reachableRatio: choice.reachableRatio,
    nowMillis,
  });
  const gate = createQuotaGate({
    bound,
    nodesCount: directory.count,
    nowMillis,
    random,
  });
  const exchange = createQuotaExchange<UpstreamEntry>({
    reporterId: randomBytes(REPORTER_ID_BYTES).toString('hex'),
    ownHostKey,
    zone: settings().zone,
    reach,
    gate,
    coordinator,
    choice,
    send: async (host, report) => {
      const answer = await links.ask(host.node, encodeQuotaReport(report));
      const end = reportEndOf(answer);
      if (end.kind !== 'answered') {
        const {hostKey: coordinatorHost} = host;
        log.request('quota-report-unanswered', {
          coordinatorHost,
          how: end.kind,
        });
      }
      return end;
    },
    patience: () => sleep(MAX_WAIT_MILLIS),
  });
  store.add(createIntervalTimer(REPORT_INTERVAL_MILLIS, exchange.tick));
  store.add(
    createIntervalTimer(EXPIRE_INTERVAL_MILLIS, () => {
      gate.expire();
      coordinator.expire();
      links.expire();
    }),
  );
  return {
    exchange,
    answer: payload => {
      const report = decodeQuotaReport(payload);
      if (report === undefined) {
        log.request('quota-report-malformed', {});
        return undefined;
      }
      return encodeQuotaAllowances(exchange.receive(report));
    },
    state: () => ({
      coordinatedCount: coordinator.accountsCount,
      reachableRatio: choice.reachableRatio(),
      limited: gate.limited(),
    }),
    dispose: store.dispose,
  };
}

/** A node of an earlier version answers with something else. */
function reportEndOf(answer: QuestionEnd): ReportEnd {
  if (typeof answer === 'string') return {kind: answer};
  const allowances = decodeQuotaAllowances(answer);
  return allowances === undefined
    ? {kind: 'closed'}
    : {kind: 'answered', allowances};
}

/** A node that leaves ends soon, and its accounts with it. */
function coordinatorsAmong(
  directory: UpstreamDirectory,
): readonly UpstreamEntry[] {
  return [...directory.hosts()]
    .map(({entry}) => entry)
    .filter(entry => !entry.isDraining);
}
