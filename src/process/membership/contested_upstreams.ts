/**
 * Records the upstreams whose entries were overwritten by another writer.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/** Upstreams with overwritten entries, by id. */
export interface ContestedUpstreams {
  readonly count: number;
  /**
   * Records that an entry was overwritten, and the entry of an earlier start
   * that applies if the known start does not write again; returns false if this
   * was recorded before.
   */
  add(id: string, successor: UpstreamEntry | undefined): boolean;
  delete(id: string): void;
  /** Returns the upstreams that have not written again in time. */
  expired(): readonly ExpiredContest[];
}

/** An upstream that has not written its entry again. */
export interface ExpiredContest {
  readonly id: string;
  readonly successor: UpstreamEntry | undefined;
}

interface Contest {
  readonly untilMillis: number;
  readonly successor: UpstreamEntry | undefined;
}

/** Creates an empty record; upstreams have this long to write again. */
export function createContestedUpstreams(
  nowMillis: () => number,
  contestedMillis: number,
): ContestedUpstreams {
  const contests = new Map<string, Contest>();
  return {
    get count() {
      return contests.size;
    },
    add: (id, successor) => {
      const contest = contests.get(id);
      // A deadline extended by each such entry would never be reached.
      const untilMillis = contest?.untilMillis ?? nowMillis() + contestedMillis;
      contests.set(id, {untilMillis, successor});
      return contest === undefined;
    },
    delete: id => {
      contests.delete(id);
    },
    expired: () =>
      [...contests]
        .filter(([, {untilMillis}]) => nowMillis() >= untilMillis)
        .map(([id, {successor}]) => ({id, successor})),
  };
}
