/**
 * Writes decisions to standard output as JSON lines: rate-limited for each kind
 * of event, bounded in memory and non-blocking.
 */
import bunyan from 'bunyan';
import {openLogOutput} from './log_output.js';

export type DecisionValue = string | number | boolean | null | undefined;

/** Fields of one line; the id of a request is `requestId`. */
export type DecisionFields = Readonly<Record<string, DecisionValue>>;

/** Log of decisions, one event per line. */
export abstract class DecisionLog {
  /**
   * Logs an event about one request, or one that clients or other nodes can
   * trigger at any rate. Events above the rate limit are dropped and counted.
   */
  abstract logRequestEvent(event: string, fields: DecisionFields): void;
  /** Logs a change of the process's state or lifecycle; not rate-limited. */
  abstract logStateEvent(event: string, fields?: DecisionFields): void;
}

/**
 * Rate limit of each kind of request event, and the burst allowed after an idle
 * period. About 30 kinds at this rate stay below 300 kB/s.
 */
const EVENTS_PER_SECOND = 20;
const BURST_EVENTS_COUNT = 60;

interface TokenBucket {
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
  const logger = bunyan.createLogger({
    name: 'fulmarhollowd',
    node: nodeName,
    stream: output as unknown as NodeJS.WritableStream,
  });
  const buckets = new Map<string, TokenBucket>();

  /**
   * Returns how many events of this kind were dropped since the last logged
   * one; `undefined` if this one is to be dropped too.
   */
  const tryTakeToken = (event: string): number | undefined => {
    const now = nowMillis();
    const bucket = buckets.get(event) ?? {
      tokens: BURST_EVENTS_COUNT,
      refilledAtMillis: now,
      suppressedCount: 0,
    };
    buckets.set(event, bucket);
    const refillCount =
      ((now - bucket.refilledAtMillis) * EVENTS_PER_SECOND) / 1000;
    bucket.tokens = Math.min(BURST_EVENTS_COUNT, bucket.tokens + refillCount);
    bucket.refilledAtMillis = now;
    if (bucket.tokens < 1) {
      bucket.suppressedCount += 1;
      return undefined;
    }
    bucket.tokens -= 1;
    const {suppressedCount} = bucket;
    bucket.suppressedCount = 0;
    return suppressedCount;
  };

  return new (class extends DecisionLog {
    override logRequestEvent(event: string, fields: DecisionFields): void {
      const suppressedCount = tryTakeToken(event);
      if (suppressedCount === undefined) return;
      const more = suppressedCount > 0 ? {suppressedCount} : undefined;
      logger.info({event, ...fields, ...more}, event);
    }
    override logStateEvent(event: string, fields?: DecisionFields): void {
      const {droppedCount} = output;
      const more = droppedCount > 0 ? {droppedLinesCount: droppedCount} : {};
      logger.info({event, ...fields, ...more}, event);
    }
  })();
}
