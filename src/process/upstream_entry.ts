/**
 * What is published about one upstream.
 */

import type {Endpoint} from './node_settings.js';

/** One start of one upstream. */
export interface UpstreamEntry {
  /** Id of this start; never used again. */
  readonly id: string;
  readonly service: string;
  /** Tells hosts apart: one host has one upstream and one node. */
  readonly hostKey: string;
  /** Where the node beside the upstream receives requests of other nodes. */
  readonly node: Endpoint;
  readonly zone: string;
  readonly region: string;
  /** Requests it works on at the same time. */
  readonly slotsCount: number;
  readonly isDraining: boolean;
  /** How much longer it stays slow after its start, when this was published. */
  readonly coldLeftMillis: number;
}
