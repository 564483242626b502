/**
 * An upstream in the directory of a node.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/** A published entry with the times at which this node received it. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** End of the upstream's slow period after its start. */
  readonly coldUntilMillis: number;
  /** Time at which this node first received an entry of this start. */
  readonly firstSeenMillis: number;
}
