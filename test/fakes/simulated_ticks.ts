/**
 * Periodic tasks of the nodes in a fleet simulation: admission levels and load polls.
 */
import {LEVEL_WINDOW_MILLIS} from '../../src/process/admission/admission_level.js';
import type {EventClock} from './event_clock.js';
import type {SimulatedNode} from './simulated_node.js';

/** Latency of a message from one node to another. */
export const HOP_MILLIS = 1;

interface TickOptions {
  readonly clock: EventClock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly durationMillis: number;
}

/** Starts the periodic tasks of all nodes, at different times. */
export function startNodeTicks(
  nodes: readonly SimulatedNode[],
  options: TickOptions,
): void {
  const {clock, random, durationMillis} = options;
  for (const node of nodes) {
    const tick = (): void => {
      node.updateLevel();
      pollLoads(node, nodes, options);
      if (clock.nowMillis() < durationMillis) {
        clock.schedule(LEVEL_WINDOW_MILLIS, tick);
      }
    };
    clock.schedule(LEVEL_WINDOW_MILLIS * random(), tick);
  }
}

/** Polls one node of each service without recent load reports. */
function pollLoads(
  node: SimulatedNode,
  nodes: readonly SimulatedNode[],
  {clock, random}: TickOptions,
): void {
  for (const service of node.loadPoller.dueServices()) {
    const others = nodes.filter(
      other => other !== node && other.own.service === service,
    );
    const target = others[Math.floor(random() * others.length)];
    if (target === undefined) continue;
    clock.schedule(2 * HOP_MILLIS, () => {
      for (const load of target.loads()) node.loadTable.observe(load);
    });
  }
}
