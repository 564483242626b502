/**
 * Peers that did not answer lately, and when to try them again.
 */
import {LRUCache} from 'lru-cache';
import type {TimeSource} from '../base/time_source.js';

const SUSPECTS_COUNT = 256;
const FIRST_MILLIS = 5_000;
const LONGEST_MILLIS = 60_000;

/** Memory of failed peers. */
export interface PeerSuspicion {
  /** Notes a failure; each further one prolongs the suspicion. */
  mark(hostName: string): void;
  /** Forgets a peer that has answered. */
  clear(hostName: string): void;
  isSuspect(hostName: string): boolean;
  /** Monotonic time until which the peer is left alone; 0 if it is not suspect. */
  untilMillis(hostName: string): number;
  readonly count: number;
}

interface Suspect {
  readonly untilMillis: number;
  readonly durationMillis: number;
}

/** Creates a memory for a bounded number of peers. */
export function createPeerSuspicion(time: TimeSource): PeerSuspicion {
  const suspects = new LRUCache<string, Suspect>({max: SUSPECTS_COUNT});

  function untilMillis(hostName: string): number {
    return suspects.get(hostName)?.untilMillis ?? 0;
  }

  return {
    mark: hostName => {
      const previous = suspects.get(hostName)?.durationMillis;
      const durationMillis = Math.min(
        previous === undefined ? FIRST_MILLIS : previous * 2,
        LONGEST_MILLIS,
      );
      // Nodes that lost the same peer must not all come back to it at once.
      const jitterMillis = Math.random() * durationMillis;
      suspects.set(hostName, {
        durationMillis,
        untilMillis: time.monotonicMillis() + durationMillis + jitterMillis,
      });
    },
    clear: hostName => {
      suspects.delete(hostName);
    },
    isSuspect: hostName => untilMillis(hostName) > time.monotonicMillis(),
    untilMillis,
    get count() {
      return suspects.size;
    },
  };
}
