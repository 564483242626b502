/**
 * Open-loop load generator: arrivals follow their schedule regardless of the
 * results of earlier requests, like those of independent callers.
 */
import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {v7 as uuid} from 'uuid';
import type {CallerResult} from './caller.js';
import {sendCallerRequest} from './caller.js';
import type {
  CallerRetryOptions,
  LoadFlow,
  LoadPhase,
  LoadPlan,
} from './load_plan.js';
import type {FlowRecorder, LoadReport} from './load_report.js';
import {createBucketRecorder, createFlowRecorder} from './load_report.js';
import type {SeededRandom} from './seeded_random.js';
import {createSeededRandom} from './seeded_random.js';

const DEFAULT_MAXIMUM_IN_PROGRESS_COUNT = 20_000;
const DEFAULT_BUCKET_MILLIS = 250;
const MILLIS_PER_SECOND = 1000;

/** Arrival of one request, which may need several attempts. */
interface Arrival {
  readonly flow: LoadFlow;
  readonly recorder: FlowRecorder;
  readonly random: SeededRandom;
  /** Scheduled time on the monotonic clock. */
  readonly scheduledMillis: number;
  /** Time of the first attempt since the start of the run. */
  readonly arrivedMillis: number;
}

/**
 * Runs the plan to its end, or until the signal fires, and waits for the
 * requests that are still in progress.
 */
export async function generateLoad(
  plan: LoadPlan,
  signal?: AbortSignal,
): Promise<LoadReport> {
  const agent = new http.Agent({keepAlive: true});
  const buckets = createBucketRecorder(
    plan.bucketMillis ?? DEFAULT_BUCKET_MILLIS,
  );
  const maximumCount =
    plan.maximumInProgressCount ?? DEFAULT_MAXIMUM_IN_PROGRESS_COUNT;
  const startMillis = performance.now();
  const inProgress = new Set<Promise<void>>();
  const goodNames: string[] = [];
  const startUnixMillis = Date.now();
  let droppedCount = 0;
  let arrivalLagMaximumMillis = 0;

  const startRequest = (scheduled: Omit<Arrival, 'arrivedMillis'>): void => {
    const nowMillis = performance.now();
    const arrivedMillis = nowMillis - startMillis;
    const arrival = {...scheduled, arrivedMillis};
    const lagMillis = nowMillis - arrival.scheduledMillis;
    arrivalLagMaximumMillis = Math.max(arrivalLagMaximumMillis, lagMillis);
    arrival.recorder.recordOffered();
    buckets.recordOffered(arrivedMillis, arrival.flow.className);
    if (inProgress.size >= maximumCount) {
      droppedCount += 1;
      return;
    }
    const task = sendWithRetries(arrival).finally(() =>
      inProgress.delete(task),
    );
    inProgress.add(task);
  };

  /** Sends attempts until one succeeds, time runs out or no retry is left. */
  const sendWithRetries = async (arrival: Arrival): Promise<void> => {
    const {flow, recorder, random, scheduledMillis} = arrival;
    const {habits} = flow;
    const name = uuid();
    const body =
      flow.bodyBytes === undefined
        ? undefined
        : Buffer.alloc(flow.bodyBytes, `${name};`);
    const endMillis = scheduledMillis + habits.patienceMillis;
    for (let attempt = 0; attempt <= habits.repeatsCount; attempt += 1) {
      const leftMillis = endMillis - performance.now();
      if (leftMillis <= 0) return;
      const result = await sendCallerRequest({
        port: choosePort(plan.ports, random),
        service: flow.service,
        method: flow.method,
        path: flow.path,
        name,
        body,
        timeoutMillis: Math.ceil(
          Math.min(leftMillis, habits.attemptTimeoutMillis),
        ),
        agent,
      });
      recorder.recordAttempt(result);
      if (result.kind === 'answered') {
        const nowMillis = performance.now();
        if (nowMillis > endMillis) return;
        recorder.recordGood(Math.max(0, nowMillis - scheduledMillis));
        buckets.recordGood({
          className: flow.className,
          arrivedMillis: arrival.arrivedMillis,
          respondedMillis: nowMillis - startMillis,
        });
        if (plan.areNamesKept === true) goodNames.push(name);
        return;
      }
      if (!shouldRetry(habits, result)) return;
      await sleep(retryDelayMillis(habits, result));
    }
  };

  const flows = plan.flows.map((flow, i) => ({
    flow,
    recorder: createFlowRecorder(flow),
    random: createSeededRandom(plan.seed + i),
    // A separate stream, so that the schedule does not depend on the attempts.
    attemptRandom: createSeededRandom(plan.seed + plan.flows.length + i),
  }));
  const runFlow = async ({
    flow,
    recorder,
    random,
    attemptRandom,
  }: (typeof flows)[number]): Promise<void> => {
    const schedule = scheduleArrivals(plan.phases, flow.ratePerSecond, random);
    for (const offsetMillis of schedule) {
      const scheduledMillis = startMillis + offsetMillis;
      const waitMillis = scheduledMillis - performance.now();
      if (waitMillis > 0) await sleep(Math.ceil(waitMillis));
      if (signal?.aborted === true) return;
      startRequest({flow, recorder, random: attemptRandom, scheduledMillis});
    }
  };

  await Promise.all(flows.map(runFlow));
  await Promise.all(inProgress);
  agent.destroy();
  return {
    startUnixMillis,
    durationMillis: performance.now() - startMillis,
    flows: flows.map(({recorder}) => recorder.report()),
    buckets: buckets.report(),
    droppedCount,
    arrivalLagMaximumMillis,
    goodNames,
  };
}

/**
 * Yields arrival times of a Poisson process, in milliseconds since the start of
 * the run.
 */
export function* scheduleArrivals(
  phases: readonly LoadPhase[],
  ratePerSecond: number,
  random: SeededRandom,
): Generator<number, void> {
  let phaseStartMillis = 0;
  for (const phase of phases) {
    const phaseEndMillis = phaseStartMillis + phase.durationMillis;
    const rate = ratePerSecond * phase.rateFactor;
    let atMillis = phaseStartMillis;
    while (rate > 0) {
      atMillis += random.exponential(MILLIS_PER_SECOND / rate);
      if (atMillis >= phaseEndMillis) break;
      yield atMillis;
    }
    phaseStartMillis = phaseEndMillis;
  }
}

function shouldRetry(
  habits: CallerRetryOptions,
  result: CallerResult,
): boolean {
  return habits.repeatsAfter === 'any' || result.outcome === 'not-run';
}

function retryDelayMillis(
  habits: CallerRetryOptions,
  result: CallerResult,
): number {
  const {retryAfterMillis} = result;
  if (habits.honoursRetryAfter && retryAfterMillis !== undefined) {
    return Math.max(habits.pauseMillis, retryAfterMillis);
  }
  return habits.pauseMillis;
}

function choosePort(ports: readonly number[], random: SeededRandom): number {
  return ports[Math.floor(random.next() * ports.length)] ?? 0;
}
