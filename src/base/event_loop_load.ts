/**
 * Measures how busy this process's event loop is: a process that has no
 * processor time to spare reads and answers late, whatever its queues hold.
 */
import {performance} from 'node:perf_hooks';

/** Load of the event loop since the previous sample. */
export interface EventLoopLoad {
  /** Share of the time in which callbacks ran, in [0, 1]. */
  readonly busyRatio: number;
  /** Delay of the sample beyond the interval at which it was due. */
  readonly delayMillis: number;
}

/** Samples the load of the event loop at a fixed interval. */
export interface EventLoopMeter {
  /** Ends a sample; called once in each interval. */
  sample(): EventLoopLoad;
}

/** Creates a meter whose samples are due every `intervalMillis`. */
export function createEventLoopMeter(
  intervalMillis: number,
  nowMillis: () => number,
): EventLoopMeter {
  let utilization = performance.eventLoopUtilization();
  let sampledMillis = nowMillis();
  return {
    sample: () => {
      const current = performance.eventLoopUtilization();
      const {active, idle} = performance.eventLoopUtilization(
        current,
        utilization,
      );
      const now = nowMillis();
      const delayMillis = Math.max(0, now - sampledMillis - intervalMillis);
      utilization = current;
      sampledMillis = now;
      const totalMillis = active + idle;
      return {
        busyRatio: totalMillis > 0 ? active / totalMillis : 0,
        delayMillis,
      };
    },
  };
}
