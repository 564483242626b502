/**
 * Open-loop calls over several paths taken in turn, with the latency of each.
 */
import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import {LOOPBACK_ADDRESS, sendHttp} from '../src/emulator/http_support.js';
import {MEASURED} from './latency_fleet.js';

/** Where the calls of one path go. */
export interface CallPath {
  readonly name: string;
  readonly port: number;
}

/** Latency over one path, in milliseconds. */
export interface PathLatency {
  readonly name: string;
  readonly callsCount: number;
  readonly failedCount: number;
  readonly medianMillis: number;
  readonly p99Millis: number;
}

/** What to send. */
export interface PacedCallsOptions {
  readonly paths: readonly CallPath[];
  /** Calls a second over each path. */
  readonly ratePerSecond: number;
  readonly durationMillis: number;
}

const MILLIS_PER_SECOND = 1000;
const MICROS_PER_MILLI = 1000;
const STATUS_OK = 200;

/** Timers are late by up to this; the rest of a wait polls the clock. */
const TIMER_SLACK_MILLIS = 2;

/** Calls in progress beyond which a run is not worth going on with. */
const MAXIMUM_IN_PROGRESS_COUNT = 2000;

/**
 * Sends calls at even intervals, whatever becomes of earlier ones. The paths
 * alternate, so that whatever else the machine does meets all of them alike.
 */
export async function sendPacedCalls(
  options: PacedCallsOptions,
): Promise<readonly PathLatency[]> {
  const {paths, ratePerSecond, durationMillis} = options;
  const agent = new http.Agent({keepAlive: true, noDelay: true});
  const recorders = paths.map(path => createRecorder(path.name));
  const inProgress = new Set<Promise<void>>();
  const intervalMillis = MILLIS_PER_SECOND / (ratePerSecond * paths.length);
  const count = Math.floor(durationMillis / intervalMillis);
  const startMillis = performance.now();
  for (let i = 0; i < count; i += 1) {
    await waitUntil(startMillis + i * intervalMillis);
    const path = paths[i % paths.length];
    const recorder = recorders[i % paths.length];
    if (path === undefined || recorder === undefined) break;
    if (inProgress.size >= MAXIMUM_IN_PROGRESS_COUNT) {
      recorder.recordFailure();
      continue;
    }
    const task = callOnce(path, agent, recorder).finally(() => {
      inProgress.delete(task);
    });
    inProgress.add(task);
  }
  await Promise.all(inProgress);
  agent.destroy();
  return recorders.map(recorder => recorder.report());
}

const BODY = Buffer.alloc(MEASURED.requestBytes, 'r');

async function callOnce(
  path: CallPath,
  agent: http.Agent,
  recorder: Recorder,
): Promise<void> {
  const startMillis = performance.now();
  try {
    const answer = await sendHttp({
      address: LOOPBACK_ADDRESS,
      port: path.port,
      method: MEASURED.method,
      path: MEASURED.path,
      headers: {host: MEASURED.service},
      body: BODY,
      agent,
    });
    const isWhole = answer.body.byteLength >= MEASURED.answerBytes;
    if (answer.statusCode === STATUS_OK && isWhole) {
      recorder.record(performance.now() - startMillis);
    } else {
      recorder.recordFailure();
    }
  } catch {
    recorder.recordFailure();
  }
}

/**
 * Polling at the end of a wait keeps the pace even: with timers alone, calls
 * would leave in bursts of whole milliseconds and queue behind one another.
 */
async function waitUntil(atMillis: number): Promise<void> {
  const waitMillis = atMillis - performance.now() - TIMER_SLACK_MILLIS;
  if (waitMillis >= 1) await sleep(waitMillis);
  while (performance.now() < atMillis) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

interface Recorder {
  record(latencyMillis: number): void;
  recordFailure(): void;
  report(): PathLatency;
}

function createRecorder(name: string): Recorder {
  const histogram = hdr.build({numberOfSignificantValueDigits: 3});
  let callsCount = 0;
  let failedCount = 0;
  const percentile = (percent: number): number =>
    histogram.getValueAtPercentile(percent) / MICROS_PER_MILLI;
  return {
    record: latencyMillis => {
      callsCount += 1;
      histogram.recordValue(Math.round(latencyMillis * MICROS_PER_MILLI));
    },
    recordFailure: () => {
      failedCount += 1;
    },
    report: () => ({
      name,
      callsCount,
      failedCount,
      medianMillis: percentile(50),
      p99Millis: percentile(99),
    }),
  };
}
