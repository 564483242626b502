/**
 * Runs a node in a child process and measures its CPU time.
 */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {stringify} from 'yaml';
import {SETTINGS_VARIABLE} from '../../platform/wire_names.js';

/** Resources that a process has used since its start. */
export interface ProcessCost {
  readonly cpuMillis: number;
  /** CPU time in user mode, with the resolution of the kernel's ticks. */
  readonly userCpuMillis: number;
  /** Voluntary context switches: wakeups after a wait. */
  readonly wakeupsCount: number;
}

/** A running node. */
export interface NodeProcess {
  readonly address: string;
  cost(): ProcessCost;
  stop(): void;
  /** Sends SIGKILL. */
  kill(): void;
  /** Sends SIGSTOP. */
  freeze(): void;
  /** Sends SIGCONT. */
  resume(): void;
  /** Resolves when the process has ended. */
  readonly ended: Promise<void>;
}

export interface NodeProcessOptions {
  /** Path of a bundle, or of the compiled entry point. */
  readonly programPath: string;
  /** Additional Node.js flags, for example for profiling. */
  readonly runtimeFlags: readonly string[];
  readonly directory: string;
  readonly address: string;
  readonly service: string;
  readonly ports: NodePorts;
  /** Grace period of a stop. */
  readonly graceSeconds?: number;
  /** Called with each log line; if omitted, the output is discarded. */
  readonly onLine?: (line: Readonly<Record<string, unknown>>) => void;
}

/** Ports, the same for all addresses of a fleet. */
export interface NodePorts {
  readonly app: number;
  readonly inbound: number;
  readonly outbound: number;
  readonly ready: number;
  readonly store: number;
}

/** Heap limits of the deployment. */
const HEAP_FLAGS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=8',
  '--no-allocation-site-pretenuring',
  '--no-memory-reducer',
];

/** Starts a node, without waiting until it is ready. */
export function startNodeProcess(options: NodeProcessOptions): NodeProcess {
  const {directory, address, onLine} = options;
  const settingsPath = join(directory, `${address}.yaml`);
  writeFileSync(settingsPath, stringify(createSettings(options)));
  const child = spawn(
    process.execPath,
    [...HEAP_FLAGS, ...options.runtimeFlags, options.programPath],
    {
      cwd: directory,
      env: {...process.env, [SETTINGS_VARIABLE]: settingsPath},
      stdio: ['ignore', onLine === undefined ? 'ignore' : 'pipe', 'inherit'],
    },
  );
  if (child.stdout !== null) {
    createInterface({input: child.stdout}).on('line', line => {
      onLine?.(JSON.parse(line) as Readonly<Record<string, unknown>>);
    });
  }
  return {
    address,
    cost: () => readCost(child),
    stop: () => {
      child.kill('SIGTERM');
    },
    kill: () => {
      child.kill('SIGKILL');
    },
    freeze: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
    ended: new Promise(resolve => {
      child.once('exit', () => {
        resolve();
      });
    }),
  };
}

function createSettings(options: NodeProcessOptions): object {
  const {address, service, ports, graceSeconds = 1} = options;
  const at = (port: number): string => `${address}:${String(port)}`;
  return {
    node: address,
    ip: address,
    zone: 'zone-a',
    region: 'region',
    zones: {'zone-a': 'region'},
    listen: {
      inbound: at(ports.inbound),
      outbound: at(ports.outbound),
      readyAddr: at(ports.ready),
    },
    bounds: [
      `graceS=${String(graceSeconds)}`,
      'retryBudgetRatio=0.2',
      'budgetWindowS=10',
    ],
    appAddr: at(ports.app),
    service,
    platform: {address: `127.0.0.1:${String(ports.store)}`},
  };
}

const NANOS_PER_MILLI = 1e6;

/**
 * Sums over all threads, because Node.js compiles and collects garbage in threads of its
 * own.
 */
function readCost({pid}: ChildProcess): ProcessCost {
  const tasks = `/proc/${String(pid)}/task`;
  let cpuMillis = 0;
  let wakeupsCount = 0;
  for (const task of readdirSync(tasks)) {
    const [nanos = '0'] = readFileSync(
      join(tasks, task, 'schedstat'),
      'utf8',
    ).split(' ');
    cpuMillis += Number(nanos) / NANOS_PER_MILLI;
    const status = readFileSync(join(tasks, task, 'status'), 'utf8');
    const switches = /^voluntary_ctxt_switches:\s*(\d+)/m.exec(status)?.[1];
    wakeupsCount += Number(switches ?? 0);
  }
  return {cpuMillis, userCpuMillis: readUserCpuMillis(pid), wakeupsCount};
}

/** The kernel reports the time in ticks of 10 ms. */
const TICK_MILLIS = 10;

/** Index of the user mode ticks (utime) after the program name in /proc/PID/stat. */
const USER_TICKS_FIELD_INDEX = 11;

function readUserCpuMillis(pid: number | undefined): number {
  const line = readFileSync(`/proc/${String(pid)}/stat`, 'utf8');
  const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
  return Number(fields[USER_TICKS_FIELD_INDEX]) * TICK_MILLIS;
}
