/**
 * Summarizes from the logs of a fleet which client requests failed, when and for
 * what reason.
 */
import type {LogLine} from './log_lines.js';
import {REQUEST_ID_SEPARATOR} from './log_lines.js';

/** Failed requests with the same route, reason or time span. */
export interface LossRow {
  /** Reason, route with reason, or start of a time span (ISO 8601). */
  readonly name: string;
  readonly count: number;
  /** Total time for which the requests were held before they failed. */
  readonly heldMillis: number;
}

/** Failed client requests, grouped in three ways. */
export interface LossSummary {
  readonly count: number;
  /** Share of the failures, calls included, that have their own log line. */
  readonly coveredRatio: number;
  readonly byReason: readonly LossRow[];
  readonly byRoute: readonly LossRow[];
  readonly bySpan: readonly LossRow[];
}

/** Collects log lines, in any order. */
export interface LossCounter {
  add(line: LogLine): void;
  /** Summarizes the collected lines, with time spans of this length. */
  summarize(spanMillis: number): LossSummary;
}

interface Loss {
  readonly requestId: string;
  readonly route: string;
  readonly timeMillis: number;
  readonly heldMillis: number;
  readonly event: string;
  readonly line: LogLine;
  /** This failure and the failures like it whose lines were suppressed. */
  readonly count: number;
}

/** Events that end a request without a successful response. */
const LOSS_EVENTS: ReadonlySet<string> = new Set([
  'shed',
  'refused',
  'failed',
  'answered-failure',
  'client-left',
]);

/** Labels in the summary for the reasons that nodes and upstreams log. */
const REASON_LABELS: Readonly<Record<string, string>> = {
  'not-executed': 'rejected by upstreams of',
  'queue-full': 'no slot in time at',
  'too-late': 'no slot in time at',
  'rate-limited': 'limited by upstreams of',
  leaving: 'leaving upstreams of',
  unreachable: 'no upstream of',
  cancelled: 'late at',
  deadline: 'late at',
  timeout: 'late at',
  silent: 'silent nodes of',
  'connection-lost': 'cut by',
  'upstream-crashed': 'crashed upstreams of',
  quarantined: 'quarantined at',
  isolated: 'may crash upstreams of',
};

/** Creates an empty counter. */
export function createLossCounter(): LossCounter {
  const losses: Loss[] = [];
  /** For each client request, its failed call that is deepest in the chain. */
  const failedCalls = new Map<string, Loss>();
  let linesCount = 0;
  let suppressedCount = 0;

  const recordFailedCall = (call: Loss): void => {
    const [rootId = ''] = call.requestId.split(REQUEST_ID_SEPARATOR, 1);
    const deepestCall = failedCalls.get(rootId);
    if (
      deepestCall === undefined ||
      callDepthOf(call) > callDepthOf(deepestCall)
    ) {
      failedCalls.set(rootId, call);
    }
  };

  const describeReason = (loss: Loss): string => {
    const call = failedCalls.get(loss.requestId);
    if (loss.line['hasFailedCall'] === true && call !== undefined) {
      return `call below: ${describeOwnReason(call)}`;
    }
    return describeOwnReason(loss);
  };

  return {
    add: line => {
      const loss = parseLoss(line);
      if (loss === undefined) return;
      linesCount += 1;
      suppressedCount += loss.count - 1;
      if (loss.requestId.includes(REQUEST_ID_SEPARATOR)) recordFailedCall(loss);
      else losses.push(loss);
    },
    summarize: spanMillis => ({
      count: losses.reduce((sum, {count}) => sum + count, 0),
      coveredRatio:
        linesCount === 0 ? 1 : linesCount / (linesCount + suppressedCount),
      byReason: aggregateBy(losses, describeReason, byCount),
      byRoute: aggregateBy(
        losses,
        loss => `${loss.route}: ${describeReason(loss)}`,
        byCount,
      ),
      bySpan: aggregateBy(
        losses,
        ({timeMillis}) =>
          new Date(
            Math.floor(timeMillis / spanMillis) * spanMillis,
          ).toISOString(),
        byName,
      ),
    }),
  };
}

function parseLoss(line: LogLine): Loss | undefined {
  const {event, requestId, route, time, millis, suppressedCount} = line;
  if (typeof event !== 'string' || !LOSS_EVENTS.has(event)) return undefined;
  if (typeof requestId !== 'string') return undefined;
  const timeMillis = Date.parse(String(time));
  if (!Number.isFinite(timeMillis)) return undefined;
  return {
    requestId,
    route: typeof route === 'string' ? route : 'unknown',
    timeMillis,
    heldMillis: typeof millis === 'number' ? millis : 0,
    event,
    line,
    count: 1 + (typeof suppressedCount === 'number' ? suppressedCount : 0),
  };
}

function callDepthOf({requestId}: Loss): number {
  return requestId.split(REQUEST_ID_SEPARATOR).length;
}

function describeOwnReason({event, line}: Loss): string {
  const service = String(line['service'] ?? line['shedBy'] ?? '');
  if (event === 'shed') {
    return `turned away for ${String(line['shedBy'])}, ${String(line['reason'])}`;
  }
  if (event === 'client-left') return 'its client left';
  if (event === 'answered-failure') {
    return `status ${String(line['statusCode'])} of ${service}`;
  }
  const reason = String(line['reason']);
  return `${REASON_LABELS[reason] ?? `${reason} at`} ${service}`.trim();
}

type RowComparator = (a: LossRow, b: LossRow) => number;

const byCount: RowComparator = (a, b) => b.count - a.count;
const byName: RowComparator = (a, b) => (a.name < b.name ? -1 : 1);

function aggregateBy(
  losses: readonly Loss[],
  nameOf: (loss: Loss) => string,
  compareRows: RowComparator,
): readonly LossRow[] {
  const rows = new Map<string, LossRow>();
  for (const loss of losses) {
    const name = nameOf(loss);
    const row = rows.get(name);
    rows.set(name, {
      name,
      count: (row?.count ?? 0) + loss.count,
      heldMillis: (row?.heldMillis ?? 0) + loss.heldMillis,
    });
  }
  return [...rows.values()].sort(compareRows);
}
