/**
 * Log of decisions as JSON lines on standard output: bounded in lines for each
 * kind of event, bounded in memory, and never blocking.
 */
import bunyan from 'bunyan';
import {openLogOutput} from './log_output.js';

/** Value of one field. */
export type DecisionValue = string | number | boolean | null | undefined;

/** Fields of one line; the request's id is `requestId`. */
export type DecisionFields = Readonly<Record<string, DecisionValue>>;

/** Receives decisions. */
export abstract class DecisionLog {
  /**
   * A decision that touches one request, or what others may cause as often as
   * they like; left out beyond the bound.
   */
  abstract logRequestEvent(event: string, fields: DecisionFields): void;
  /** A change of what the process believes, or of its life; always written. */
  abstract logStateEvent(event: string, fields?: DecisionFields): void;
}

/**
 * Lines a second for each kind of decision on requests, and the most that a
 * quiet spell saves up. Some thirty kinds at this rate stay under 300 kB/s.
 */
const LINES_PER_SECOND = 20;
const BURST_LINES_COUNT = 60;

interface Allowance {
  tokens: number;
  refilledAtMillis: number;
  suppressedCount: number;
}

/** Creates the log of a process. */
export function createDecisionLog(
  nodeName: string,
  nowMillis: () => number,
): DecisionLog {
  const output = openLogOutput();
  const lines = bunyan.createLogger({
    name: 'fulmarhollowd',
    node: nodeName,
    stream: output as unknown as NodeJS.WritableStream,
  });
  const allowances = new Map<string, Allowance>();

  const take = (event: string): number | undefined => {
    const now = nowMillis();
    const allowance = allowances.get(event) ?? {
      tokens: BURST_LINES_COUNT,
      refilledAtMillis: now,
      suppressedCount: 0,
    };
    allowances.set(event, allowance);
    const refill =
      ((now - allowance.refilledAtMillis) * LINES_PER_SECOND) / 1000;
    allowance.tokens = Math.min(BURST_LINES_COUNT, allowance.tokens + refill);
    allowance.refilledAtMillis = now;
    if (allowance.tokens < 1) {
      allowance.suppressedCount += 1;
      return undefined;
    }
    allowance.tokens -= 1;
    const {suppressedCount} = allowance;
    allowance.suppressedCount = 0;
    return suppressedCount;
  };

  return new (class extends DecisionLog {
    override logRequestEvent(event: string, fields: DecisionFields): void {
      const suppressedCount = take(event);
      if (suppressedCount === undefined) return;
      const more = suppressedCount > 0 ? {suppressedCount} : undefined;
      lines.info({event, ...fields, ...more}, event);
    }
    override logStateEvent(event: string, fields?: DecisionFields): void {
      const {droppedCount} = output;
      const more = droppedCount > 0 ? {droppedLinesCount: droppedCount} : {};
      lines.info({event, ...fields, ...more}, event);
    }
  })();
}
