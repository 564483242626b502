/**
 * A Node program run as a child process: its ready line, its log, its signals
 * and its end.
 */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {BaseError} from '../base/errors.js';

/** What the program printed when ready. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A program to start. */
export interface ProgramOptions {
  /** For messages. */
  readonly name: string;
  /** JavaScript file. */
  readonly file: string;
  readonly args: readonly string[];
  readonly nodeArgs?: readonly string[] | undefined;
}

/** A running or ended program. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  readonly ready: ReadyLine;
  /** The last lines it wrote to either output, oldest first. */
  log(): readonly string[];
  hasExited(): boolean;
  readonly exited: Promise<ProcessExit>;
  signal(signal: NodeJS.Signals): void;
  /** SIGTERM, then SIGKILL when it has not ended in time. */
  stop(timeoutMillis: number): Promise<ProcessExit>;
}

const LOG_LINES_COUNT = 500;
const READY_TIMEOUT_MILLIS = 30_000;

/** Processes still running, so that none outlives this one. */
const runningPids = new Set<number>();

process.on('exit', () => {
  for (const pid of runningPids) killIfRunning(pid);
});

/** Starts a program and resolves when it has printed its ready line. */
export function startProgram(options: ProgramOptions): Promise<ManagedProcess> {
  const child = spawn(
    process.execPath,
    [...(options.nodeArgs ?? []), options.file, ...options.args],
    {stdio: ['ignore', 'pipe', 'pipe']},
  );
  const {pid} = child;
  const lines: string[] = [];
  let isEnded = false;
  if (pid !== undefined) runningPids.add(pid);

  const recordLine = (line: string): void => {
    lines.push(line);
    if (lines.length > LOG_LINES_COUNT) lines.shift();
  };
  const exited = new Promise<ProcessExit>(resolve => {
    child.once('close', (code, signal) => {
      isEnded = true;
      if (pid !== undefined) runningPids.delete(pid);
      resolve({code, signal});
    });
  });
  const createStartError = (reason: string): Error =>
    new BaseError(`${options.name} ${reason}: ${lines.slice(-5).join(' | ')}`, {
      props: {step: 'start-program', peer: options.name},
    });

  const stop = async (timeoutMillis: number): Promise<ProcessExit> => {
    if (!isEnded) child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMillis);
    try {
      return await exited;
    } finally {
      clearTimeout(timer);
    }
  };

  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(createStartError('was not ready in time'));
    }, READY_TIMEOUT_MILLIS);
    child.once('error', reject);
    void exited.then(() => {
      clearTimeout(timer);
      reject(createStartError('ended before it was ready'));
    });
    createInterface({input: child.stderr}).on('line', recordLine);
    createInterface({input: child.stdout}).on('line', line => {
      recordLine(line);
      const ready = parseReadyLine(line);
      if (ready === undefined || pid === undefined) return;
      clearTimeout(timer);
      resolve({
        name: options.name,
        pid,
        ready,
        log: () => [...lines],
        hasExited: () => isEnded,
        exited,
        signal: signal => {
          child.kill(signal);
        },
        stop,
      });
    });
  });
}

function parseReadyLine(line: string): ReadyLine | undefined {
  const isDaemon = line.includes('"event":"node-started"');
  if (!isDaemon && !line.startsWith('{"ready":true')) return undefined;
  return JSON.parse(line) as ReadyLine;
}

function killIfRunning(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // It has ended in the meantime.
  }
}
