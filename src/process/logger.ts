/**
 * Log of state changes as JSON lines; what happens per request is counted in
 * metrics instead.
 */
import type {Writable} from 'node:stream';

import bunyan from 'bunyan';

import {BaseError, describeError} from '../base/errors.js';
import type {FailureOrigin} from '../base/errors.js';
import type {LogSettings} from './settings.js';

/** Events that may appear in the log; operators search for these names. */
export type LogEvent =
  | 'node-starting'
  | 'node-ready'
  | 'node-stopping'
  | 'node-stopped'
  | 'listener-opened'
  | 'listener-failed'
  | 'phase-changed'
  | 'drain-started'
  | 'drain-finished'
  | 'policy-accepted'
  | 'policy-in-force'
  | 'policy-refused'
  | 'host-list-accepted'
  | 'host-list-refused'
  | 'platform-reader-started'
  | 'platform-reader-stopped'
  | 'platform-reached'
  | 'platform-lost'
  | 'platform-stale'
  | 'peer-connected'
  | 'peer-lost'
  | 'peer-refused'
  | 'view-confirmed'
  | 'view-unconfirmed'
  | 'clock-jumped'
  | 'upstream-ejected'
  | 'upstream-restored'
  | 'key-records-handed-over'
  | 'task-failed'
  | 'internal-error';

/** Value of one field of a line. */
export type LogValue = string | number | boolean | null | readonly string[];

/**
 * Fields that the log library sets itself. A field of the same name would
 * replace, for instance, the level, and the line would no longer be found.
 */
type ReservedField =
  | 'event'
  | 'hostname'
  | 'level'
  | 'msg'
  | 'name'
  | 'node'
  | 'pid'
  | 'time'
  | 'v';

/** Fields of one line. */
export type LogFields = Readonly<Record<string, LogValue | undefined>> & {
  readonly [K in ReservedField]?: never;
};

/** Fields of an error line: always the step and the peer. */
export type ErrorLogFields = LogFields &
  FailureOrigin & {
    /** What went wrong, in words. */
    readonly message: string;
  };

/** Receives changes of state. */
export abstract class Logger {
  abstract info(event: LogEvent, fields?: LogFields): void;
  abstract warn(event: LogEvent, fields?: LogFields): void;
  abstract error(event: LogEvent, fields: ErrorLogFields): void;
}

/** What a logger is made of. */
export interface BunyanLoggerOptions {
  readonly settings: LogSettings;
  /** Name of this host, on every line. */
  readonly hostName: string;
  /** Receives the lines; standard error when left out. */
  readonly stream?: Writable | undefined;
}

/** Creates a logger that writes one JSON object per line. */
export function createBunyanLogger(options: BunyanLoggerOptions): Logger {
  const lines = bunyan.createLogger({
    name: 'fulmarhollowd',
    node: options.hostName,
    level: options.settings.level,
    stream: options.stream ?? process.stderr,
  });
  return new (class extends Logger {
    override info(event: LogEvent, fields?: LogFields): void {
      lines.info({event, ...fields}, event);
    }
    override warn(event: LogEvent, fields?: LogFields): void {
      lines.warn({event, ...fields}, event);
    }
    override error(event: LogEvent, fields: ErrorLogFields): void {
      lines.error({event, ...fields}, event);
    }
  })();
}

/** Step, peer and message of a thrown value; the origin is for other errors. */
export function errorFields(
  error: unknown,
  origin: FailureOrigin,
): ErrorLogFields {
  const {step, peer} = error instanceof BaseError ? error : origin;
  return {step, peer, message: describeError(error)};
}
