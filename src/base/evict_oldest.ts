/**
 * Keeps a record within its maximum size.
 */

/** A map or set, which iterates its keys in the order in which they were added. */
export interface EvictableRecord<K> {
  readonly size: number;
  keys(): Iterable<K>;
  delete(key: K): boolean;
}

/** Evicts the key that was added first if a record exceeds its maximum size. */
export function evictOldest<K>(
  record: EvictableRecord<K>,
  maxCount: number,
): void {
  if (record.size <= maxCount) return;
  for (const oldestKey of record.keys()) {
    record.delete(oldestKey);
    return;
  }
}
