/**
 * Simulates the publishers of a source: upstreams and an operator that write documents,
 * the platform that removes entries of upstreams that stopped writing, and losses and
 * restores of the source.
 */
import type {SimulatedSource, SourceSnapshot} from './simulated_source.js';

/** The next event of a simulation. */
export interface PublisherAction {
  readonly kind:
    | 'write'
    | 'drain'
    | 'leave'
    | 'crash'
    | 'start'
    | 'publish'
    | 'compact'
    /** The source refuses calls of its follower for a time; publishers still write. */
    | 'cut'
    /** The source is restored from an earlier snapshot. */
    | 'restore';
  /** Upstream that the action applies to. */
  readonly upstreamIndex: number;
  /** Number of actions since the snapshot to restore. */
  readonly snapshotAgeCount: number;
  readonly durationMillis: number;
  /** Time until the next action. */
  readonly pauseMillis: number;
}

/** Actual state of an upstream, which the published entries may not reflect. */
export interface SimulatedUpstream {
  readonly id: string;
  readonly bornMillis: number;
  readonly sequenceNumber: number;
  readonly isDraining: boolean;
  readonly isAlive: boolean;
}

export interface SimulatedPublishers {
  apply(act: PublisherAction, nowMillis: number): void;
  /** Runs the writes, removals and reconnections that are due. */
  tick(nowMillis: number): void;
  readonly upstreams: readonly SimulatedUpstream[];
  readonly version: number;
}

/** Key of the configuration version, outside the prefix of the entries. */
export const VERSION_KEY = 'op/config';

/** Prefix of the upstreams' entries. */
export const ENTRIES_PREFIX = 'servers/';

/** Interval at which upstreams rewrite their entries. */
export const HEARTBEAT_INTERVAL_MILLIS = 1500;

/** Time without a write after which the platform removes an entry. */
const LEASE_MILLIS = 3 * HEARTBEAT_INTERVAL_MILLIS;

/** Creates so many running upstreams, publishes their entries and version 0. */
export function createSimulatedPublishers(
  source: SimulatedSource,
  upstreamsCount: number,
  random: () => number,
): SimulatedPublishers {
  const upstreams: SimulatedUpstream[] = [];
  const rewriteDueMillis = new Map<string, number>();
  const expiryDueMillis = new Map<string, number>();
  const snapshots: SourceSnapshot[] = [];
  let version = 0;
  let publishDueMillis: number | undefined;
  let disconnectedUntilMillis = 0;

  const writeEntry = (upstream: SimulatedUpstream, index: number): void => {
    const written = {
      ...upstream,
      sequenceNumber: upstream.sequenceNumber + 1,
    };
    upstreams[index] = written;
    rewriteDueMillis.delete(written.id);
    source.change(`${ENTRIES_PREFIX}${written.id}`, JSON.stringify(written));
  };

  const publish = (): void => {
    publishDueMillis = undefined;
    source.change(VERSION_KEY, String(version));
  };

  const restore = (snapshotAgeCount: number, nowMillis: number): void => {
    const snapshot = snapshots.at(-1 - snapshotAgeCount) ?? snapshots[0];
    if (snapshot === undefined) return;
    source.restore(snapshot);
    publishDueMillis = nowMillis + random() * HEARTBEAT_INTERVAL_MILLIS;
    for (const {id, isAlive} of upstreams) {
      if (isAlive) {
        rewriteDueMillis.set(
          id,
          nowMillis + random() * HEARTBEAT_INTERVAL_MILLIS,
        );
      } else {
        expiryDueMillis.set(id, nowMillis + LEASE_MILLIS);
      }
    }
  };

  const markStopped = (index: number, upstream: SimulatedUpstream): void => {
    upstreams[index] = {...upstream, isAlive: false};
    rewriteDueMillis.delete(upstream.id);
  };

  const applyTo = (
    kind: PublisherAction['kind'],
    index: number,
    upstream: SimulatedUpstream,
    nowMillis: number,
  ): void => {
    const {id, bornMillis, isAlive} = upstream;
    if (kind === 'start' && !isAlive) {
      expiryDueMillis.delete(id);
      writeEntry(createUpstream(id, bornMillis + 1), index);
    }
    if (!isAlive) return;
    if (kind === 'write') writeEntry(upstream, index);
    if (kind === 'drain') writeEntry({...upstream, isDraining: true}, index);
    if (kind === 'leave') {
      markStopped(index, upstream);
      source.remove(`${ENTRIES_PREFIX}${id}`);
    }
    if (kind === 'crash') {
      markStopped(index, upstream);
      expiryDueMillis.set(id, nowMillis + LEASE_MILLIS);
    }
  };

  for (let index = 0; index < upstreamsCount; index += 1) {
    writeEntry(createUpstream(`u-${String(index)}`, 1), index);
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
      if (upstream !== undefined) applyTo(kind, index, upstream, nowMillis);
      if (kind === 'publish') {
        version += 1;
        publish();
      }
      if (kind === 'compact') source.compact();
      if (kind === 'restore') restore(snapshotAgeCount, nowMillis);
      if (kind === 'cut' || kind === 'restore') {
        disconnectedUntilMillis = nowMillis + durationMillis;
        source.setState('refusing');
      }
      snapshots.push(source.takeSnapshot());
    },
    tick: nowMillis => {
      if (nowMillis >= disconnectedUntilMillis) source.setState('healthy');
      if (publishDueMillis !== undefined && nowMillis >= publishDueMillis) {
        publish();
      }
      for (const [index, upstream] of upstreams.entries()) {
        const dueMillis = rewriteDueMillis.get(upstream.id) ?? Infinity;
        if (nowMillis >= dueMillis) writeEntry(upstream, index);
      }
      for (const [id, atMillis] of expiryDueMillis) {
        if (nowMillis < atMillis) continue;
        expiryDueMillis.delete(id);
        const key = `${ENTRIES_PREFIX}${id}`;
        if (source.texts.has(key)) source.remove(key);
      }
    },
  };
}

function createUpstream(id: string, bornMillis: number): SimulatedUpstream {
  return {
    id,
    bornMillis,
    sequenceNumber: 0,
    isDraining: false,
    isAlive: true,
  };
}
