/**
 * The running node as its program starts and stops it.
 */
import type {TimeSource} from '../base/time_source.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {Settings} from '../process/settings.js';
import type {StateDump} from '../process/state_dump.js';
import type {DecisionsFactory} from './decisions.js';

/** Ports the listeners are bound to. */
export interface ListenerPorts {
  readonly caller: number;
  readonly local: number;
  readonly peer: number;
  readonly control: number;
  readonly admin: number;
}

/** What a node is made of; owned by the program, not by the node. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly stateDump: StateDump;
  readonly time: TimeSource;
  /** The product's own decisions when absent; benches replace single ones. */
  readonly createDecisions?: DecisionsFactory | undefined;
}

/** One node of the layer. */
export interface DaemonNode {
  /** Opens all listeners; on failure everything opened is closed again. */
  start(): Promise<ListenerPorts>;
  /** Drains requests in flight, then closes everything. */
  stop(): Promise<void>;
}
