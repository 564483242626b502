/**
 * Published entry of one upstream.
 */

import type {Endpoint} from '../settings/node_settings.js';
import type {UpstreamStart} from './upstream_start.js';

/** Entry that an upstream publishes about its current start. */
export interface UpstreamEntry extends UpstreamStart {
  /** Counts the entries of one start; `undefined` if the publisher omits it. */
  readonly sequenceNumber: number | undefined;
  readonly service: string;
  /** Identifies the host: one host has one upstream and one node. */
  readonly hostKey: string;
  /** Where the node of the upstream receives requests of other nodes. */
  readonly node: Endpoint;
  readonly zone: string;
  readonly region: string;
  /** Requests that the upstream processes concurrently. */
  readonly slotsCount: number;
  readonly isDraining: boolean;
  /** Remaining slow period after its start, as of the publication. */
  readonly coldLeftMillis: number;
}
