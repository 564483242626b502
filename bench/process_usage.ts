/**
 * CPU time and memory of processes of this machine, read from `/proc`.
 */
import {readFile} from 'node:fs/promises';
import {cpus} from 'node:os';

/** Use of one process since it started. */
export interface ProcessUsage {
  /** User and system time. */
  readonly cpuMillis: number;
  readonly residentBytes: number;
}

/** Use of all cores together since the machine started. */
export interface MachineUsage {
  readonly busyMillis: number;
  readonly totalMillis: number;
}

/** Clock ticks are 1/100 s on every Linux that Node runs on. */
const MILLIS_PER_TICK = 10;
const PAGE_BYTES = 4096;

// Positions in /proc/PID/stat after the parenthesised command name.
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

// Positions in the first line of /proc/stat after its name.
const IDLE_FIELD = 3;
const IO_WAIT_FIELD = 4;
/** User, nice, system, idle, I/O wait, interrupts, soft interrupts, steal. */
const COUNTED_FIELDS = 8;

/** Reads the use of a process; rejects once it has ended. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
  const text = await readFile(`/proc/${String(pid)}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const numberAt = (index: number): number => Number(fields[index] ?? '0');
  const ticks = numberAt(USER_TICKS_FIELD) + numberAt(SYSTEM_TICKS_FIELD);
  return {
    cpuMillis: ticks * MILLIS_PER_TICK,
    residentBytes: numberAt(RESIDENT_PAGES_FIELD) * PAGE_BYTES,
  };
}

/** Reads the use of all cores. */
export async function readMachineUsage(): Promise<MachineUsage> {
  const text = await readFile('/proc/stat', 'utf8');
  const line = text.slice(0, text.indexOf('\n'));
  const ticks = line
    .split(/\s+/)
    .slice(1, 1 + COUNTED_FIELDS)
    .map(Number);
  const totalTicks = ticks.reduce((sum, value) => sum + value, 0);
  const idleTicks = (ticks[IDLE_FIELD] ?? 0) + (ticks[IO_WAIT_FIELD] ?? 0);
  return {
    busyMillis: (totalTicks - idleTicks) * MILLIS_PER_TICK,
    totalMillis: totalTicks * MILLIS_PER_TICK,
  };
}

/** Share of all cores in use between two readings, 0 to 1. */
export function busyRatio(before: MachineUsage, after: MachineUsage): number {
  const totalMillis = after.totalMillis - before.totalMillis;
  if (totalMillis <= 0) return 0;
  return (after.busyMillis - before.busyMillis) / totalMillis;
}

/** One line about the machine, to stand beside every figure. */
export function describeMachine(): string {
  const cores = cpus();
  return `${String(cores.length)} cores (${cores[0]?.model ?? 'unknown'}), Node ${process.version}`;
}
