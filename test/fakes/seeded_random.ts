/**
 * Reproducible random numbers for tests.
 */
import {createSeededRandom as createStream} from '../../src/emulator/seeded_random.js';

/** Uniform in [0, 1), by seed. */
export function createSeededRandom(seed: number): () => number {
  const stream = createStream(seed);
  return () => stream.next();
}
