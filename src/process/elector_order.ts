/**
 * In which order a host asks the electors of its zone.
 */
import {rendezvousOrder} from '../base/hash.js';

/**
 * Orders electors differently for each asker, those that were silent last.
 * Only as many are asked as a quorum needs; in one common order the first
 * electors of a large zone would answer for all its hosts and the rest for
 * none.
 */
export function orderElectors(
  askerName: string,
  electors: readonly string[],
  silentElectors: ReadonlySet<string>,
): readonly string[] {
  const ownOrder = rendezvousOrder(
    `asker\u0000${askerName}`,
    electors,
    name => name,
  );
  return ownOrder.toSorted(
    (a, b) => Number(silentElectors.has(a)) - Number(silentElectors.has(b)),
  );
}
