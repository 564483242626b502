/**
 * Directory of the upstreams that a node knows, with their published entries.
 */
import {
  createMissingUpstreams,
  REAPPEAR_GRACE_MILLIS,
} from './missing_upstreams.js';
import type {DirectoryChange} from './directory_change.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';
import type {ExpiredContest} from './contested_upstreams.js';
import {createContestedUpstreams} from './contested_upstreams.js';
import {createDepartedUpstreams} from './departed_upstreams.js';
import {isOutdated} from './entry_order.js';
import {createLeavingUpstreams} from './leaving_upstreams.js';
import type {UpstreamIndex} from './upstream_index.js';
import {indexUpstreams} from './upstream_index.js';
import {compareStarts} from './upstream_start.js';

export interface UpstreamDirectory {
  /** Adds new or changed entries. */
  put(entries: readonly UpstreamEntry[]): void;
  /** Records that the entries under these ids cannot be used. */
  markContested(ids: readonly string[]): void;
  remove(ids: readonly string[]): void;
  /**
   * Records that an upstream has announced that it is leaving, which no entry
   * of the same start withdraws; returns false if this was known.
   */
  markLeaving(id: string): boolean;
  /**
   * Replaces all entries; ids that are missing, and not contested, have left.
   */
  replaceAll(
    entries: readonly UpstreamEntry[],
    contestedIds?: readonly string[],
  ): void;
  /** Records that the source is unavailable. */
  markSourceLost(): void;
  /** Records that the source is available again. */
  markSourceRecovered(): void;
  /** Records that the source was restored from an older copy. */
  markSourceRestored(): void;
  /** Updates the lookups after a change of the configured services. */
  reindex(): void;
  /** Removes upstreams whose grace period is over. */
  removeExpired(): void;
  /** Returns the upstreams of a service that accept new requests. */
  listReady(service: string): readonly KnownUpstream[];
  find(id: string): KnownUpstream | undefined;
  /** Returns whether an upstream has announced that it is leaving. */
  hasAnnouncedLeaving(id: string): boolean;
  /** Returns the listed upstreams that have announced that they are leaving. */
  leavingIds(): readonly string[];
  /** Returns whether an upstream was known and has left or was superseded. */
  hasLeft(id: string): boolean;
  /** Returns the latest upstream of each host. */
  hosts(): Iterable<KnownUpstream>;
  /** Returns the latest upstream of a host. */
  findByHost(hostKey: string): KnownUpstream | undefined;
  /** Returns the number of known upstreams, one per node of the fleet. */
  count(): number;
}

export interface UpstreamDirectoryOptions {
  readonly nowMillis: () => number;
  /** Called after the lookups reflect the change. */
  readonly onChange: (change: DirectoryChange) => void;
  /**
   * Returns whether a service is in the active configuration; all are by
   * default.
   */
  readonly isServiceConfigured?: (service: string) => boolean;
  /** Interval at which an upstream writes its entry. */
  readonly heartbeatMillis?: number | undefined;
  /** Called whenever the lookups may have changed. */
  readonly onIndexed?: () => void;
}

/**
 * Heartbeats for which an upstream stays in use after its entry was
 * overwritten: the time after which the platform itself drops an entry that is
 * not renewed. A live upstream writes its own entry again with its next
 * heartbeat.
 */
const CONTESTED_HEARTBEATS_COUNT = 3;

/** Heartbeat if the settings have none: that of the current platform. */
const DEFAULT_HEARTBEAT_MILLIS = 1500;

/** Creates an empty directory. */
export function createUpstreamDirectory(
  options: UpstreamDirectoryOptions,
): UpstreamDirectory {
  const {nowMillis, isServiceConfigured = () => true} = options;
  const {heartbeatMillis = DEFAULT_HEARTBEAT_MILLIS} = options;
  const contestedMillis = heartbeatMillis * CONTESTED_HEARTBEATS_COUNT;
  const upstreams = new Map<string, KnownUpstream>();
  const missing = createMissingUpstreams(nowMillis);
  const contests = createContestedUpstreams(nowMillis, contestedMillis);
  const departedUpstreams = createDepartedUpstreams();
  const leavingUpstreams = createLeavingUpstreams();
  let changes: DirectoryChange[] = [];
  const isLeaving = ({id, isDraining}: UpstreamEntry): boolean =>
    isDraining || leavingUpstreams.has(id);
  const buildIndex = (): UpstreamIndex =>
    indexUpstreams(upstreams.values(), isServiceConfigured, isLeaving);
  let index = buildIndex();
  let maybeCopiedUntilMillis = 0;

  const recordChange = (
    kind: DirectoryChange['kind'],
    entry: UpstreamEntry,
  ): void => {
    changes.push({kind, entry});
  };

  const recordNewIds = (
    kind: DirectoryChange['kind'],
    ids: ReadonlySet<string>,
    idsBefore: ReadonlySet<string>,
  ): void => {
    for (const id of ids) {
      const upstream = upstreams.get(id);
      if (upstream !== undefined && !idsBefore.has(id)) {
        recordChange(kind, upstream.entry);
      }
    }
  };

  /**
   * Updates the index before it calls listeners, because they use the lookups.
   */
  const reindexAndNotify = (): void => {
    const previous = index;
    index = buildIndex();
    recordNewIds('superseded', index.supersededIds, previous.supersededIds);
    recordNewIds('unnamed', index.unconfiguredIds, previous.unconfiguredIds);
    const pendingChanges = changes;
    changes = [];
    for (const change of pendingChanges) options.onChange(change);
    options.onIndexed?.();
  };

  const markOneContested = (id: string, successor?: UpstreamEntry): void => {
    const upstream = upstreams.get(id);
    if (upstream === undefined) return;
    const isNew = contests.add(id, successor);
    if (isNew) recordChange('contested', upstream.entry);
  };

  const setEntry = (entry: UpstreamEntry, previous?: KnownUpstream): void => {
    missing.forget(entry.id);
    contests.delete(entry.id);
    departedUpstreams.delete(entry.id);
    const now = nowMillis();
    upstreams.set(entry.id, {
      entry,
      coldUntilMillis: now + entry.coldLeftMillis,
      firstSeenMillis: previous?.firstSeenMillis ?? now,
    });
  };

  const recordStateChange = (
    entry: UpstreamEntry,
    wasDraining: boolean,
  ): void => {
    if (entry.isDraining === wasDraining) return;
    recordChange(entry.isDraining ? 'draining' : 'ready', entry);
  };

  /**
   * Returns whether an entry may come from the copy that the source was
   * restored from. Entries of upstreams that have exited are not renewed, and
   * the platform has dropped them after this time.
   */
  const mayBeCopied = (): boolean => nowMillis() < maybeCopiedUntilMillis;

  /**
   * Returns whether an entry replaces the configured service of its start by an
   * unconfigured one. A start serves one service only, so such an entry comes
   * from another writer.
   */
  const losesConfiguredService = (
    entry: UpstreamEntry,
    previous: UpstreamEntry,
  ): boolean =>
    isServiceConfigured(previous.service) &&
    !isServiceConfigured(entry.service);

  /**
   * A start that drains does not accept requests again, so that its state applies even if
   * another writer has published a larger sequence number for it.
   */
  const applyOutdatedDraining = (
    entry: UpstreamEntry,
    previous: KnownUpstream,
  ): void => {
    if (!entry.isDraining || previous.entry.isDraining || mayBeCopied()) return;
    const draining = {...previous.entry, isDraining: true};
    setEntry(draining, previous);
    recordStateChange(draining, false);
  };

  const putSameStart = (
    entry: UpstreamEntry,
    previous: KnownUpstream,
  ): void => {
    if (isOutdated(entry, previous.entry, mayBeCopied())) {
      applyOutdatedDraining(entry, previous);
      return;
    }
    if (losesConfiguredService(entry, previous.entry)) {
      markOneContested(entry.id);
      return;
    }
    setEntry(entry, previous);
    recordStateChange(entry, previous.entry.isDraining);
  };

  /**
   * Returns whether an entry comes from a restored copy and is outdated: its
   * start has ended, or was replaced by a later one with its id. Such an entry
   * does not contest the later start, and must not replace it when that one
   * stops writing.
   */
  const isOutdatedCopy = (entry: UpstreamEntry): boolean => {
    if (!mayBeCopied()) return false;
    if (departedUpstreams.isOutdated(entry)) return true;
    const previous = upstreams.get(entry.id);
    return (
      previous !== undefined &&
      compareStarts(entry, previous.entry) === 'earlier'
    );
  };

  const putOne = (entry: UpstreamEntry): void => {
    const previous = upstreams.get(entry.id);
    if (previous === undefined) {
      setEntry(entry);
      recordChange('joined', entry);
      return;
    }
    switch (compareStarts(entry, previous.entry)) {
      case 'earlier':
        markOneContested(entry.id, entry);
        return;
      case 'same':
        putSameStart(entry, previous);
        return;
      default:
        leavingUpstreams.delete(entry.id);
        setEntry(entry);
        recordChange('restarted', entry);
        recordStateChange(entry, false);
    }
  };

  const removeUpstream = (upstream: KnownUpstream): void => {
    const {entry} = upstream;
    missing.forget(entry.id);
    contests.delete(entry.id);
    upstreams.delete(entry.id);
    departedUpstreams.add(entry);
    recordChange('left', entry);
  };

  const markOneMissing = (id: string, wasRemoved: boolean): void => {
    const upstream = upstreams.get(id);
    if (upstream === undefined) return;
    const state = missing.markMissing(id, wasRemoved);
    if (state === 'gone') removeUpstream(upstream);
    if (state === 'kept') recordChange('kept', upstream.entry);
  };

  const expireContest = ({id, successor}: ExpiredContest): void => {
    const upstream = upstreams.get(id);
    if (upstream === undefined) return;
    removeUpstream(upstream);
    if (successor !== undefined) putOne(successor);
  };

  return {
    put: entries => {
      for (const entry of entries) {
        if (!isOutdatedCopy(entry)) putOne(entry);
      }
      reindexAndNotify();
    },
    markContested: ids => {
      for (const id of ids) markOneContested(id);
      reindexAndNotify();
    },
    remove: ids => {
      for (const id of ids) markOneMissing(id, true);
      reindexAndNotify();
    },
    markLeaving: id => {
      const isNew = leavingUpstreams.add(id);
      if (isNew && upstreams.has(id)) reindexAndNotify();
      return isNew;
    },
    replaceAll: (entries, contestedIds = []) => {
      const current = entries.filter(entry => !isOutdatedCopy(entry));
      const present = new Set([
        ...current.map(entry => entry.id),
        ...contestedIds,
      ]);
      for (const entry of current) putOne(entry);
      for (const id of contestedIds) markOneContested(id);
      for (const id of [...upstreams.keys()]) {
        if (!present.has(id)) markOneMissing(id, false);
      }
      reindexAndNotify();
    },
    markSourceLost: missing.markSourceLost,
    markSourceRecovered: missing.markSourceRecovered,
    markSourceRestored: () => {
      missing.markSourceRestored();
      maybeCopiedUntilMillis =
        nowMillis() + REAPPEAR_GRACE_MILLIS + contestedMillis;
    },
    reindex: reindexAndNotify,
    removeExpired: () => {
      if (missing.count + contests.count === 0) return;
      for (const id of missing.expiredIds()) {
        const upstream = upstreams.get(id);
        if (upstream !== undefined) removeUpstream(upstream);
      }
      for (const contest of contests.expired()) expireContest(contest);
      reindexAndNotify();
    },
    listReady: service => index.readyByService.get(service) ?? [],
    find: id => upstreams.get(id),
    hasAnnouncedLeaving: leavingUpstreams.has,
    leavingIds: () => [...upstreams.keys()].filter(leavingUpstreams.has),
    hasLeft: id => departedUpstreams.has(id) || index.supersededIds.has(id),
    hosts: () => index.latestByHost.values(),
    findByHost: hostKey => index.latestByHost.get(hostKey),
    count: () => upstreams.size,
  };
}
