/**
 * An upstream as the directory of a node knows it.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/** A published entry and when this node learned it. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Until when the upstream is slow after its start. */
  readonly coldUntilMillis: number;
  /** When this node first saw an entry of this start. */
  readonly firstSeenMillis: number;
}
