/**
 * Ids that are remembered for a time of their own, however many others are added: an id
 * that is forgotten early would be taken for one that was never seen. Memory is bounded by
 * the rate of new ids and the longest of these times.
 */

export interface ExpiringIds {
  has(id: string): boolean;
  /** Remembers the id until this time; a later call replaces the time. */
  add(id: string, untilMillis: number): void;
  delete(id: string): void;
}

/** Creates an empty set. */
export function createExpiringIds(nowMillis: () => number): ExpiringIds {
  const untilMillisById = new Map<string, number>();

  const evictExpired = (): void => {
    const now = nowMillis();
    for (const [id, untilMillis] of untilMillisById) {
      if (untilMillis > now) return;
      untilMillisById.delete(id);
    }
  };

  return {
    has: id => (untilMillisById.get(id) ?? -Infinity) > nowMillis(),
    add: (id, untilMillis) => {
      evictExpired();
      untilMillisById.delete(id);
      untilMillisById.set(id, untilMillis);
    },
    delete: id => {
      untilMillisById.delete(id);
    },
  };
}
