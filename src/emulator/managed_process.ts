/**
 * A Node.js program that runs as a child process: start, ready line, log,
 * signals and exit.
 */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {BaseError} from '../base/errors.js';

/** Parsed JSON line that a program prints when it is ready. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/** Exit code, or signal, of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of a program. */
export interface ProgramOptions {
  /** Name used in messages. */
  readonly name: string;
  /** Path of a JavaScript file. */
  readonly file: string;
  readonly args: readonly string[];
  readonly nodeArgs?: readonly string[] | undefined;
}

/** A program that is running or has exited. */
export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  readonly ready: ReadyLine;
  /** The last lines written to stdout and stderr, oldest first. */
  log(): readonly string[];
  hasExited(): boolean;
  readonly exited: Promise<ProcessExit>;
  signal(signal: NodeJS.Signals): void;
  /** Sends SIGTERM, and SIGKILL if the process has not exited in time. */
  stop(timeoutMillis: number): Promise<ProcessExit>;
}

const LOG_LINES_COUNT = 500;
const READY_TIMEOUT_MILLIS = 30_000;

/** Child processes to kill when this process exits. */
const runningPids = new Set<number>();

process.on('exit', () => {
  for (const pid of runningPids) killIfRunning(pid);
});

/**
 * Starts a program and resolves when it has printed its ready line. Rejects if
 * it exits before that, or does not print it in time.
 */
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
    // The process has already exited.
  }
}
