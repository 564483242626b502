/**
 * Reproducible random numbers for tests.
 */
import {createSeededRandom as createStream} from '../../src/emulator/seeded_random.js';

/** Returns a generator of numbers that are uniform in [0, 1). */
export function createSeededRandom(seed: number): () => number {
  const stream = createStream(seed);
  return () => stream.next();
}
