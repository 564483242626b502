/**
 * Fast non-cryptographic hashing and the rendezvous order built on it.
 */
import xxhash from 'xxhash-wasm';

const api = await xxhash();

/** 64-bit xxHash of a text; equal in every process. */
export function hash64(text: string): bigint {
  return api.h64(text);
}

/**
 * Orders items by the rendezvous weight of (key, name), highest first. Removing
 * an item moves no other, so a change of the fleet moves few choices.
 */
export function rendezvousOrder<T>(
  key: string,
  items: readonly T[],
  nameOf: (item: T) => string,
): readonly T[] {
  return items
    .map(item => ({item, weight: hash64(`${key}\u0000${nameOf(item)}`)}))
    .sort((left, right) => compareBigInt(right.weight, left.weight))
    .map(({item}) => item);
}

/** Three-way comparison for sorting, ascending. */
export function compareBigInt(left: bigint, right: bigint): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
