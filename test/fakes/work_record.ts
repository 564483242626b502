/**
 * Record of the requests, runs and faults of a soak. Finds requests that a node failed by
 * itself, before their deadline, while their upstream was at work on them.
 */
import type {LogLine} from './process_fleet.js';

/** A request as its sender saw it. */
export interface SentRequest {
  readonly attemptId: string;
  readonly target: string;
  /** Run of an upstream that made the request as a call; `undefined` for a client's. */
  readonly parent: WorkRun | undefined;
  readonly entryIndex: number;
  readonly sentMillis: number;
  readonly deadlineMillis: number;
  /** Infinite without an answer. */
  answeredMillis: number;
  outcome: string;
  /** The answer is a failure without the signature of an upstream. */
  isFailedByNode: boolean;
}

/** A run of a request as its upstream saw it. */
export interface WorkRun {
  readonly attemptId: string;
  readonly hostIndex: number;
  readonly startMillis: number;
  /** Infinite until the end. */
  endMillis: number;
  /** The connection was closed before the upstream had responded. */
  isCut: boolean;
}

export type FaultKind =
  | 'node killed'
  | 'node stopped'
  | 'node frozen'
  | 'upstream restarted'
  | 'connections refused'
  | 'connections reset'
  | 'connections not accepted'
  | 'hops cut'
  | 'configured';

/** A fault at one host. */
export interface Fault {
  readonly kind: FaultKind;
  readonly hostIndex: number;
  readonly fromMillis: number;
  untilMillis: number;
}

/** Reasons for which a node may fail a request whose run was at work. */
export type Exclusion =
  /** The process with the request's connections ended. */
  | 'node killed'
  /** A node on the path could not tell its peers or callers anything. */
  | 'node frozen'
  /** The stop of a node on the path reached the end of its grace period. */
  | 'grace over'
  /** The run ended with its process. */
  | 'upstream restarted'
  /** The run that made the call was cut, so that nobody waits for it. */
  | 'caller gone';

export interface WorkRecord {
  /** Records a request that is sent now. */
  begin(
    request: Pick<
      SentRequest,
      'attemptId' | 'target' | 'parent' | 'entryIndex'
    >,
    timeoutMillis: number,
  ): SentRequest;
  end(request: SentRequest, outcome: string, isFailedByNode: boolean): void;
  startRun(attemptId: string, hostIndex: number): WorkRun;
  endRun(run: WorkRun, isCut: boolean): void;
  /** Records a fault that lasts until the action has ended. */
  during(
    kind: FaultKind,
    hostIndex: number,
    action: () => Promise<unknown>,
  ): Promise<void>;
  report(logs: readonly (readonly LogLine[])[]): WorkReport;
}

export interface WorkReport {
  /** Number of requests by outcome. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Number of runs at work whose request may fail, by reason. */
  readonly exclusions: ReadonlyMap<Exclusion, number>;
  /** Requests failed while they were at work, each with its events. */
  readonly failedAtWork: readonly string[];
}

export interface WorkRecordOptions {
  /** Time from the start of a stop after which requests may be given up. */
  readonly graceMillis: number;
}

/** Answers this close to the deadline count as answers at the deadline. */
const DEADLINE_MARGIN_MILLIS = 250;

/** Within this time a cut run's caller is told. */
const CUT_NOTICE_MILLIS = 100;

/** Longer freezes are excluded: the peers' own timeouts are of this length. */
const MAX_UNNOTICED_FREEZE_MILLIS = 250;

/** Time before and after a request whose faults and log lines are printed. */
const CONTEXT_MILLIS = 1000;

const LOGGED_STATE_EVENTS: ReadonlySet<unknown> = new Set([
  'own-upstream-lost',
  'own-upstream-reached',
  'peer-lost',
  'stop-step',
]);

const LOGGED_FIELDS = ['reason', 'cause', 'peer', 'step', 'millis'] as const;

export function createWorkRecord(options: WorkRecordOptions): WorkRecord {
  const requests: SentRequest[] = [];
  const runs = new Map<string, WorkRun[]>();
  const faults: Fault[] = [];
  const startMillis = performance.now();

  const exclusionOf = (
    request: SentRequest,
    run: WorkRun,
  ): Exclusion | undefined => {
    const {parent, sentMillis, answeredMillis} = request;
    const isParentCut =
      parent?.isCut === true &&
      parent.endMillis < answeredMillis + CUT_NOTICE_MILLIS;
    if (isParentCut) return 'caller gone';
    for (const fault of faults) {
      const {kind, hostIndex, fromMillis, untilMillis} = fault;
      if (fromMillis > answeredMillis || untilMillis < sentMillis) continue;
      const isRunHost = hostIndex === run.hostIndex;
      if (kind === 'upstream restarted') {
        const isDuring =
          fromMillis <= run.endMillis && untilMillis >= run.startMillis;
        if (isRunHost && isDuring) return kind;
        continue;
      }
      if (!isRunHost && hostIndex !== request.entryIndex) continue;
      if (kind === 'node killed') return kind;
      const isNoticed = untilMillis - fromMillis > MAX_UNNOTICED_FREEZE_MILLIS;
      if (kind === 'node frozen' && isNoticed) return kind;
      const isOver = answeredMillis - fromMillis > options.graceMillis;
      if (kind === 'node stopped' && isOver) return 'grace over';
    }
    return undefined;
  };

  /** Runs of a request that a node failed which were cut, or at work at its answer. */
  const runsAtWork = (request: SentRequest): readonly WorkRun[] => {
    const latestMillis = request.deadlineMillis - DEADLINE_MARGIN_MILLIS;
    if (!request.isFailedByNode) return [];
    if (request.answeredMillis > latestMillis) return [];
    return (runs.get(request.attemptId) ?? []).filter(
      ({isCut, endMillis}) => isCut || endMillis > request.answeredMillis,
    );
  };

  const at = (millis: number): string =>
    `${((millis - startMillis) / 1000).toFixed(3)} s`;

  /** Lists the events of a request with the faults and log lines of its path. */
  const describe = (
    request: SentRequest,
    logs: readonly (readonly LogLine[])[],
  ): string => {
    const {attemptId, parent, entryIndex, sentMillis, answeredMillis} = request;
    const events: [number, string][] = [
      [sentMillis, `sent to node ${String(entryIndex)}`],
      [answeredMillis, `failed: ${request.outcome}`],
    ];
    for (const run of runs.get(attemptId) ?? []) {
      const upstream = `upstream ${String(run.hostIndex)}`;
      events.push([run.startMillis, `${upstream} runs it`]);
      const end = run.isCut ? 'run is cut' : 'responds';
      events.push([run.endMillis, `${upstream}: ${end}`]);
    }
    const fromMillis = sentMillis - CONTEXT_MILLIS;
    const untilMillis = answeredMillis + CONTEXT_MILLIS;
    const path = new Set([entryIndex]);
    for (const run of runs.get(attemptId) ?? []) path.add(run.hostIndex);
    for (const fault of faults) {
      if (!path.has(fault.hostIndex) && fault.kind !== 'configured') continue;
      if (fault.untilMillis < fromMillis) continue;
      if (fault.fromMillis > untilMillis) continue;
      const text = `${fault.kind}: ${String(fault.hostIndex)}`;
      const end = `until ${at(fault.untilMillis)}`;
      events.push([fault.fromMillis, `${text}, ${end}`]);
    }
    for (const [index, lines] of logs.entries()) {
      for (const {time, requestId, event, ...fields} of lines) {
        const millis = Date.parse(String(time)) - performance.timeOrigin;
        const isState =
          LOGGED_STATE_EVENTS.has(event) &&
          path.has(index) &&
          millis >= fromMillis &&
          millis <= untilMillis;
        if (requestId !== attemptId && !isState) continue;
        const values = LOGGED_FIELDS.map(field => String(fields[field] ?? ''));
        const text = [String(event), ...values].filter(Boolean).join(' ');
        events.push([millis, `log of node ${String(index)}: ${text}`]);
      }
    }
    events.sort(([a], [b]) => a - b);
    const lines = events.map(([millis, text]) => `  ${at(millis)} ${text}`);
    const deadline = `deadline ${at(request.deadlineMillis)}`;
    const caller = parent === undefined ? 'client' : 'upstream';
    const head = `${attemptId} ${request.target} of ${caller}, ${deadline}`;
    return [head, ...lines].join('\n');
  };

  return {
    begin: (request, timeoutMillis) => {
      const sentMillis = performance.now();
      const sent: SentRequest = {
        ...request,
        sentMillis,
        deadlineMillis: sentMillis + timeoutMillis,
        answeredMillis: Infinity,
        outcome: 'none',
        isFailedByNode: false,
      };
      requests.push(sent);
      return sent;
    },
    end: (request, outcome, isFailedByNode) => {
      request.answeredMillis = performance.now();
      request.outcome = outcome;
      request.isFailedByNode = isFailedByNode;
    },
    startRun: (attemptId, hostIndex) => {
      const run: WorkRun = {
        attemptId,
        hostIndex,
        startMillis: performance.now(),
        endMillis: Infinity,
        isCut: false,
      };
      runs.set(attemptId, [...(runs.get(attemptId) ?? []), run]);
      return run;
    },
    endRun: (run, isCut) => {
      run.endMillis = performance.now();
      run.isCut = isCut;
    },
    during: async (kind, hostIndex, action) => {
      const fromMillis = performance.now();
      const fault = {kind, hostIndex, fromMillis, untilMillis: Infinity};
      faults.push(fault);
      await action();
      fault.untilMillis = performance.now();
    },
    report: logs => {
      const outcomes = new Map<string, number>();
      const exclusions = new Map<Exclusion, number>();
      const failedAtWork: string[] = [];
      for (const request of requests) {
        increment(outcomes, request.outcome);
        const reasons = runsAtWork(request).map(run =>
          exclusionOf(request, run),
        );
        for (const reason of reasons) {
          if (reason !== undefined) increment(exclusions, reason);
        }
        if (!reasons.includes(undefined)) continue;
        failedAtWork.push(describe(request, logs));
      }
      return {outcomes, exclusions, failedAtWork};
    },
  };
}

function increment<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
