/**
 * Measures what two nodes add to a call, against the direct path in the same
 * run, and what a call costs a node.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {formatTable} from '../src/emulator/text_table.js';
import type {BenchOptions, BenchResult} from './bench_command.js';
import {BenchCommand} from './bench_command.js';
import type {LatencyFleet} from './latency_fleet.js';
import {MEASURED, startLatencyFleet} from './latency_fleet.js';
import type {PathLatency} from './paced_calls.js';
import {sendPacedCalls} from './paced_calls.js';
import {
  busyRatio,
  describeMachine,
  readMachineUsage,
  readProcessUsage,
} from './process_usage.js';

/** Latency that two nodes may add at the 99th percentile. */
const TARGET_ADDED_P99_MILLIS = 1.6;

/** One load at which the paths are compared. */
interface Step {
  readonly ratePerSecond: number;
  readonly durationMillis: number;
}

const STEPS: readonly Step[] = [
  {ratePerSecond: 50, durationMillis: 30_000},
  {ratePerSecond: 400, durationMillis: 15_000},
  {ratePerSecond: 1000, durationMillis: 10_000},
];
const QUICK_STEPS: readonly Step[] = [
  {ratePerSecond: 50, durationMillis: 6000},
  {ratePerSecond: 400, durationMillis: 4000},
];

/** Lets the compiler see the whole path before anything is measured. */
const WARM_UP: Step = {ratePerSecond: 400, durationMillis: 8000};

/** Time over which a node's cost without any call is read. */
const IDLE_MILLIS = 5000;

/** What a node used during a step. */
interface NodeCost {
  /** User and system time for each call that passed, control included. */
  readonly cpuPerCallMillis: number;
  readonly residentBytes: number;
}

/** Figures of one step. */
interface StepFigures {
  readonly ratePerSecond: number;
  readonly direct: PathLatency;
  readonly throughNodes: PathLatency;
  readonly addedMedianMillis: number;
  readonly addedP99Millis: number;
  readonly callerNode: NodeCost;
  readonly upstreamNode: NodeCost;
  /** Share of all cores in use, by whatever ran. */
  readonly machineBusyRatio: number;
}

/** Figures of the whole measurement. */
interface LatencyFigures {
  readonly machine: string;
  readonly measuredAt: string;
  readonly targetAddedP99Millis: number;
  /** CPU of a node that serves nothing, as a share of one core. */
  readonly idleCoreRatio: number;
  readonly steps: readonly StepFigures[];
}

/** Creates the measurement. */
export function createLatencyBench(): BenchCommand {
  return new (class extends BenchCommand {
    override readonly name = 'latency';
    override readonly description =
      'latency added to a call, CPU per call and memory of a node';
    override async run(options: BenchOptions): Promise<BenchResult> {
      const fleet = await startLatencyFleet();
      try {
        const figures = await measure(fleet, options);
        return {text: formatFigures(figures), figures};
      } finally {
        await fleet.close();
      }
    }
  })();
}

async function measure(
  fleet: LatencyFleet,
  options: BenchOptions,
): Promise<LatencyFigures> {
  const steps = options.isQuick ? QUICK_STEPS : STEPS;
  options.notify('latency: warming up');
  await measureStep(fleet, WARM_UP);
  const idleCoreRatio = await measureIdle(fleet);
  const results: StepFigures[] = [];
  for (const step of steps) {
    options.notify(`latency: ${String(step.ratePerSecond)} calls/s`);
    results.push(await measureStep(fleet, step));
  }
  return {
    machine: describeMachine(),
    measuredAt: new Date().toISOString(),
    targetAddedP99Millis: TARGET_ADDED_P99_MILLIS,
    idleCoreRatio,
    steps: results,
  };
}

async function measureIdle(fleet: LatencyFleet): Promise<number> {
  const before = await readProcessUsage(fleet.callerNodePid);
  await sleep(IDLE_MILLIS);
  const after = await readProcessUsage(fleet.callerNodePid);
  return (after.cpuMillis - before.cpuMillis) / IDLE_MILLIS;
}

async function measureStep(
  fleet: LatencyFleet,
  step: Step,
): Promise<StepFigures> {
  const machineBefore = await readMachineUsage();
  const callerBefore = await readProcessUsage(fleet.callerNodePid);
  const upstreamBefore = await readProcessUsage(fleet.upstreamNodePid);
  const [direct, throughNodes] = await sendPacedCalls({
    paths: [
      {name: 'direct', port: fleet.directPort},
      {name: 'through two nodes', port: fleet.nodePort},
    ],
    ...step,
  });
  if (direct === undefined || throughNodes === undefined) {
    throw new Error('a path was not measured');
  }
  const machineAfter = await readMachineUsage();
  const costOf = async (pid: number, beforeMillis: number) => {
    const usage = await readProcessUsage(pid);
    return {
      cpuPerCallMillis:
        (usage.cpuMillis - beforeMillis) / throughNodes.callsCount,
      residentBytes: usage.residentBytes,
    };
  };
  return {
    ratePerSecond: step.ratePerSecond,
    direct,
    throughNodes,
    addedMedianMillis: throughNodes.medianMillis - direct.medianMillis,
    addedP99Millis: throughNodes.p99Millis - direct.p99Millis,
    callerNode: await costOf(fleet.callerNodePid, callerBefore.cpuMillis),
    upstreamNode: await costOf(fleet.upstreamNodePid, upstreamBefore.cpuMillis),
    machineBusyRatio: busyRatio(machineBefore, machineAfter),
  };
}

/** Latency of the calls that passed says nothing once others have failed. */
function verdictOf(step: StepFigures): string {
  const failedCount = step.direct.failedCount + step.throughNodes.failedCount;
  if (failedCount > 0) return 'CALLS FAILED';
  return step.addedP99Millis <= TARGET_ADDED_P99_MILLIS ? 'met' : 'MISSED';
}

const BYTES_PER_MEGABYTE = 1_000_000;

function formatFigures(figures: LatencyFigures): string {
  const fixed = (value: number, digits = 2): string => value.toFixed(digits);
  const latency = figures.steps.map(step => [
    String(step.ratePerSecond),
    String(step.throughNodes.callsCount),
    String(step.direct.failedCount + step.throughNodes.failedCount),
    `${fixed(step.direct.medianMillis)} / ${fixed(step.direct.p99Millis)}`,
    `${fixed(step.throughNodes.medianMillis)} / ${fixed(step.throughNodes.p99Millis)}`,
    fixed(step.addedMedianMillis),
    fixed(step.addedP99Millis),
    verdictOf(step),
    `${fixed(step.machineBusyRatio * 100, 0)}%`,
  ]);
  const cost = figures.steps.map(step => [
    String(step.ratePerSecond),
    fixed(step.callerNode.cpuPerCallMillis, 3),
    fixed(step.upstreamNode.cpuPerCallMillis, 3),
    fixed(step.callerNode.residentBytes / BYTES_PER_MEGABYTE, 0),
    fixed(step.upstreamNode.residentBytes / BYTES_PER_MEGABYTE, 0),
  ]);
  return [
    `Latency of a call: request ${String(MEASURED.requestBytes)} B, answer ${String(MEASURED.answerBytes)} B, paths in turn, milliseconds as median / 99th percentile`,
    `Machine: ${figures.machine}; busy counts everything that ran on it`,
    '',
    formatTable(
      [
        'calls/s',
        'calls',
        'failed',
        'direct',
        'through two nodes',
        'added median',
        'added p99',
        `target ${String(figures.targetAddedP99Millis)}`,
        'busy',
      ],
      latency,
    ),
    `Cost of a node (one that serves nothing uses ${fixed(figures.idleCoreRatio * 100, 1)}% of a core)`,
    '',
    formatTable(
      [
        'calls/s',
        "CPU ms/call, caller's node",
        "CPU ms/call, upstream's node",
        "MB resident, caller's",
        "MB resident, upstream's",
      ],
      cost,
    ),
  ].join('\n');
}
