/**
 * Order of the entries that one start of an upstream publishes.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/**
 * Returns whether the same start has already published a newer entry. Without
 * start times, a restart under the same id cannot be distinguished from the
 * previous start, and its sequence numbers begin again; a smaller number is
 * then an older entry only if the entry may come from a restored copy. Treated
 * as a restart in that case, a draining upstream would get requests again.
 */
export function isOutdated(
  entry: UpstreamEntry,
  previous: UpstreamEntry,
  mayBeCopied: boolean,
): boolean {
  if (entry.bornMillis === undefined && !mayBeCopied) return false;
  return (entry.sequenceNumber ?? 0) < (previous.sequenceNumber ?? 0);
}
