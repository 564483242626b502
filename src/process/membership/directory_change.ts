/**
 * Changes of the directory of upstreams.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/** A change to be logged. */
export interface DirectoryChange {
  readonly kind:
    | 'joined'
    /**
     * Started again under the same id; no state of the previous start is kept.
     */
    | 'restarted'
    | 'draining'
    | 'ready'
    | 'left'
    /**
     * The entry is missing; the upstream stays in use until its grace period
     * ends.
     */
    | 'kept'
    /** The entry was overwritten by one that is not its own. */
    | 'contested'
    /** A later start runs on its host. */
    | 'superseded'
    /** Its service is not configured; the upstream is unused until it is. */
    | 'unnamed';
  readonly entry: UpstreamEntry;
}
