/**
 * Upstreams and an operator that publish to a replayed source, the platform that
 * drops the entries of those that are silent, and drills of the source.
 */
import type {SimulatedSource, SourceSnapshot} from './simulated_source.js';

/** What happens next in a world. */
export interface PublisherAction {
  readonly kind:
    | 'write'
    | 'drain'
    | 'leave'
    | 'crash'
    | 'start'
    | 'publish'
    | 'compact'
    /** The followed source is away for a time, and all goes on without it. */
    | 'cut'
    /** It comes back from an earlier copy. */
    | 'restore';
  /** Upstream that it happens to. */
  readonly upstreamIndex: number;
  /** Acts since the copy was made. */
  readonly snapshotAgeCount: number;
  readonly durationMillis: number;
  /** Time until the next act. */
  readonly pauseMillis: number;
}

/** An upstream as it is, whatever is known of it. */
export interface SimulatedUpstream {
  readonly id: string;
  readonly bornMillis: number;
  readonly sequenceNumber: number;
  readonly isDraining: boolean;
  readonly isAlive: boolean;
}

/** The world. */
export interface SimulatedPublishers {
  apply(act: PublisherAction, nowMillis: number): void;
  /** Does what is due. */
  tick(nowMillis: number): void;
  readonly upstreams: readonly SimulatedUpstream[];
  readonly version: number;
}

/** Key of the version; entries lie below another prefix. */
export const VERSION_KEY = 'op/config';

/** Prefix of the entries. */
export const ENTRIES_PREFIX = 'servers/';

/** Interval at which upstreams write their entries. */
export const HEARTBEAT_INTERVAL_MILLIS = 1500;

/** Silence after which the platform drops an entry. */
const LEASE_MILLIS = 3 * HEARTBEAT_INTERVAL_MILLIS;

/** Creates a world of so many upstreams that run already. */
export function createSimulatedPublishers(
  source: SimulatedSource,
  upstreamsCount: number,
  random: () => number,
): SimulatedPublishers {
  const upstreams: SimulatedUpstream[] = [];
  const rewriteMillis = new Map<string, number>();
  const dropMillis = new Map<string, number>();
  const copies: SourceSnapshot[] = [];
  let version = 0;
  let publishAgainMillis: number | undefined;
  let cutUntilMillis = 0;

  const write = (upstream: SimulatedUpstream, index: number): void => {
    const written = {
      ...upstream,
      sequenceNumber: upstream.sequenceNumber + 1,
    };
    upstreams[index] = written;
    rewriteMillis.delete(written.id);
    source.change(`${ENTRIES_PREFIX}${written.id}`, JSON.stringify(written));
  };

  const publish = (): void => {
    publishAgainMillis = undefined;
    source.change(VERSION_KEY, String(version));
  };

  const restore = (ageCount: number, nowMillis: number): void => {
    const copy = copies.at(-1 - ageCount) ?? copies[0];
    if (copy === undefined) return;
    source.restore(copy);
    publishAgainMillis = nowMillis + random() * HEARTBEAT_INTERVAL_MILLIS;
    for (const {id, isAlive} of upstreams) {
      if (isAlive) {
        rewriteMillis.set(id, nowMillis + random() * HEARTBEAT_INTERVAL_MILLIS);
      } else {
        dropMillis.set(id, nowMillis + LEASE_MILLIS);
      }
    }
  };

  const end = (index: number, upstream: SimulatedUpstream): void => {
    upstreams[index] = {...upstream, isAlive: false};
    rewriteMillis.delete(upstream.id);
  };

  const actOn = (
    kind: PublisherAction['kind'],
    index: number,
    upstream: SimulatedUpstream,
    nowMillis: number,
  ): void => {
    const {id, bornMillis, isAlive} = upstream;
    if (kind === 'start' && !isAlive) {
      dropMillis.delete(id);
      write(freshUpstream(id, bornMillis + 1), index);
    }
    if (!isAlive) return;
    if (kind === 'write') write(upstream, index);
    if (kind === 'drain') write({...upstream, isDraining: true}, index);
    if (kind === 'leave') {
      end(index, upstream);
      source.remove(`${ENTRIES_PREFIX}${id}`);
    }
    if (kind === 'crash') {
      end(index, upstream);
      dropMillis.set(id, nowMillis + LEASE_MILLIS);
    }
  };

  for (let index = 0; index < upstreamsCount; index += 1) {
    write(freshUpstream(`u-${String(index)}`, 1), index);
  }
  publish();

  return {
    upstreams,
    get version() {
      return version;
    },
    apply: (
      {kind, upstreamIndex, snapshotAgeCount, durationMillis},
      nowMillis,
    ) => {
      const index = upstreamIndex % upstreamsCount;
      const upstream = upstreams[index];
      if (upstream !== undefined) actOn(kind, index, upstream, nowMillis);
      if (kind === 'publish') {
        version += 1;
        publish();
      }
      if (kind === 'compact') source.compact();
      if (kind === 'restore') restore(snapshotAgeCount, nowMillis);
      if (kind === 'cut' || kind === 'restore') {
        cutUntilMillis = nowMillis + durationMillis;
        source.setState('refusing');
      }
      copies.push(source.takeSnapshot());
    },
    tick: nowMillis => {
      if (nowMillis >= cutUntilMillis) source.setState('healthy');
      if (publishAgainMillis !== undefined && nowMillis >= publishAgainMillis) {
        publish();
      }
      for (const [index, upstream] of upstreams.entries()) {
        const dueMillis = rewriteMillis.get(upstream.id) ?? Infinity;
        if (nowMillis >= dueMillis) write(upstream, index);
      }
      for (const [id, atMillis] of dropMillis) {
        if (nowMillis < atMillis) continue;
        dropMillis.delete(id);
        const key = `${ENTRIES_PREFIX}${id}`;
        if (source.texts.has(key)) source.remove(key);
      }
    },
  };
}

function freshUpstream(id: string, bornMillis: number): SimulatedUpstream {
  return {
    id,
    bornMillis,
    sequenceNumber: 0,
    isDraining: false,
    isAlive: true,
  };
}
