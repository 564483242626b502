/**
 * A node as a process of its own, with what it logs and what it has cost so far.
 */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {stringify} from 'yaml';
import {SETTINGS_VARIABLE} from '../../platform/wire_names.js';

/** What a process has cost since its start. */
export interface ProcessCost {
  readonly cpuMillis: number;
  /** Part of it in the process's own code, not in the kernel for it. */
  readonly userCpuMillis: number;
  /** Times that it was woken after it had waited. */
  readonly wakeupsCount: number;
}

/** A running node. */
export interface NodeProcess {
  readonly address: string;
  cost(): ProcessCost;
  stop(): void;
  /** Ends it without a word. */
  kill(): void;
}

/** Where a node is and what it speaks to. */
export interface NodeProcessOptions {
  /** A bundle, or the built program. */
  readonly programPath: string;
  /** Flags of the runtime, for example those of a profile. */
  readonly runtimeFlags: readonly string[];
  readonly directory: string;
  readonly address: string;
  readonly service: string;
  readonly ports: NodePorts;
  /** Called with each line that it logs; left out, lines are not read. */
  readonly onLine?: (line: Readonly<Record<string, unknown>>) => void;
}

/** Ports, the same on every address of a fleet. */
export interface NodePorts {
  readonly app: number;
  readonly inbound: number;
  readonly outbound: number;
  readonly ready: number;
  readonly store: number;
}

/** The heap bounds of the deployment. */
const HEAP_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=2'];

/** Starts a node; it is ready later. */
export function startNodeProcess(options: NodeProcessOptions): NodeProcess {
  const {directory, address, onLine} = options;
  const settingsPath = join(directory, `${address}.yaml`);
  writeFileSync(settingsPath, stringify(settingsOf(options)));
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
  };
}

function settingsOf({address, service, ports}: NodeProcessOptions): object {
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
    bounds: ['graceS=1', 'retryBudgetRatio=0.2', 'budgetWindowS=10'],
    appAddr: at(ports.app),
    service,
    platform: {address: `127.0.0.1:${String(ports.store)}`},
  };
}

const NANOS_PER_MILLI = 1e6;

/** Sums over all threads: those of the runtime compile and collect garbage. */
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
    const waits = /^voluntary_ctxt_switches:\s*(\d+)/m.exec(status)?.[1];
    wakeupsCount += Number(waits ?? 0);
  }
  return {cpuMillis, userCpuMillis: readOwnMillis(pid), wakeupsCount};
}

/** The kernel tells it in ticks of 10 ms. */
const TICK_MILLIS = 10;

/** Place of the ticks in the process's own code behind the program's name. */
const OWN_TICKS_FIELD = 11;

function readOwnMillis(pid: number | undefined): number {
  const line = readFileSync(`/proc/${String(pid)}/stat`, 'utf8');
  const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
  return Number(fields[OWN_TICKS_FIELD]) * TICK_MILLIS;
}
