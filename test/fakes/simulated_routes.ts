/**
 * Short forms for the services and routes of simulated fleets.
 */
import type {SimulatedRoute} from './fleet_load.js';

/** Work, timeout and latency objective of a route, in milliseconds. */
export type RouteTimes = readonly [
  workMillis: number,
  timeoutMillis: number,
  objectiveMillis: number,
];

/** Creates a route. */
export function simulatedRoute(
  name: string,
  service: string,
  rank: number,
  [workMillis, timeoutMillis, objectiveMillis]: RouteTimes,
  calls: readonly string[],
): SimulatedRoute {
  return {
    name,
    service,
    rank,
    workMillis,
    timeoutMillis,
    objectiveMillis,
    calls,
  };
}

/** Repeats the values in turn. */
export function cycled<T>(count: number, values: readonly T[]): T[] {
  return Array.from({length: count}, (_, i) => values[i % values.length]!);
}
