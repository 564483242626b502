/**
 * What is published about one upstream.
 */

import type {Endpoint} from '../settings/node_settings.js';
import type {UpstreamStart} from './upstream_start.js';

/** One start of one upstream, as it publishes itself. */
export interface UpstreamEntry extends UpstreamStart {
  /** Counts the entries of one start; `undefined` if its publisher does not. */
  readonly sequenceNumber: number | undefined;
  readonly service: string;
  /** Identifies the host: one host has one upstream and one node. */
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
