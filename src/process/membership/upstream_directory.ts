/**
 * The upstreams a node knows, by service, with what is published about each.
 */
import {
  createMissingUpstreams,
  REAPPEAR_GRACE_MILLIS,
} from './missing_upstreams.js';
import type {KnownUpstream} from './known_upstream.js';
import type {UpstreamEntry} from './upstream_entry.js';
import {createDepartedUpstreams} from './departed_upstreams.js';
import type {UpstreamIndex} from './upstream_index.js';
import {indexUpstreams} from './upstream_index.js';
import {compareStarts} from './upstream_start.js';

/** A change that deserves a log line. */
export interface DirectoryChange {
  readonly kind:
    | 'joined'
    /** There again under the same id, with nothing of before. */
    | 'restarted'
    | 'draining'
    | 'ready'
    | 'left'
    /** Missing, and still in use until it may have reappeared. */
    | 'kept'
    /** Its entry was replaced by one that is not its own. */
    | 'contested'
    /** A later start runs at its host. */
    | 'superseded'
    /** No configuration names its service; it waits for one that does. */
    | 'unnamed';
  readonly entry: UpstreamEntry;
}

/** Directory of upstreams. */
export interface UpstreamDirectory {
  /** Takes new or changed entries. */
  put(entries: readonly UpstreamEntry[]): void;
  /** Notes that entries under these ids cannot be used. */
  markContested(ids: readonly string[]): void;
  remove(ids: readonly string[]): void;
  /** Replaces all; ids that are missing, and not contested, have left. */
  replaceAll(
    entries: readonly UpstreamEntry[],
    contestedIds?: readonly string[],
  ): void;
  /** Records that the source does not answer. */
  markSourceLost(): void;
  /** Records that the source answers again after a loss. */
  markSourceRecovered(): void;
  /** Records that the source was restored from an older copy. */
  markSourceRestored(): void;
  /** Looks again at which services are named. */
  reindex(): void;
  /** Forgets entries whose time to reappear is over. */
  removeExpired(): void;
  /** Upstreams of a service that may take new work. */
  listReady(service: string): readonly KnownUpstream[];
  find(id: string): KnownUpstream | undefined;
  /** Whether an upstream was known and has left, or a later one has its host. */
  hasLeft(id: string): boolean;
  /** The latest upstream of each host. */
  hosts(): Iterable<KnownUpstream>;
  /** The latest upstream of a host. */
  findByHost(hostKey: string): KnownUpstream | undefined;
  /** Upstreams of all services, one for each node of the fleet. */
  count(): number;
}

/** What a directory needs. */
export interface UpstreamDirectoryOptions {
  readonly nowMillis: () => number;
  /** Called when lookups show the change already. */
  readonly onChange: (change: DirectoryChange) => void;
  /** Whether the configuration in force names a service; left out, it names all. */
  readonly isServiceConfigured?: (service: string) => boolean;
  /** Interval at which an upstream writes its entry. */
  readonly heartbeatMillis?: number | undefined;
  /** Called whenever lookups may show something new. */
  readonly onIndexed?: () => void;
}

/**
 * Heartbeats for which an upstream stays in use whose entry was overwritten: the
 * silence after which the platform itself drops an entry. One that lives writes
 * its own entry again with its next heartbeat.
 */
const CONTESTED_HEARTBEATS_COUNT = 3;

/** Heartbeat where the settings name none: that of the platform of today. */
const DEFAULT_HEARTBEAT_MILLIS = 1500;

/** An upstream whose entry was overwritten. */
interface Contest {
  readonly untilMillis: number;
  /** Entry of an earlier start, which counts if the known one stays silent. */
  readonly successor: UpstreamEntry | undefined;
}

/** Creates an empty directory. */
export function createUpstreamDirectory(
  options: UpstreamDirectoryOptions,
): UpstreamDirectory {
  const {nowMillis, isServiceConfigured = () => true} = options;
  const {heartbeatMillis = DEFAULT_HEARTBEAT_MILLIS} = options;
  const contestedMillis = heartbeatMillis * CONTESTED_HEARTBEATS_COUNT;
  const known = new Map<string, KnownUpstream>();
  const missing = createMissingUpstreams(nowMillis);
  const contests = new Map<string, Contest>();
  const leftStarts = createDepartedUpstreams();
  let changes: DirectoryChange[] = [];
  let index: UpstreamIndex = indexUpstreams([], isServiceConfigured);
  let copiedUntilMillis = 0;

  const note = (kind: DirectoryChange['kind'], entry: UpstreamEntry): void => {
    changes.push({kind, entry});
  };

  const noteNew = (
    kind: DirectoryChange['kind'],
    ids: ReadonlySet<string>,
    idsBefore: ReadonlySet<string>,
  ): void => {
    for (const id of ids) {
      const upstream = known.get(id);
      if (upstream !== undefined && !idsBefore.has(id)) {
        note(kind, upstream.entry);
      }
    }
  };

  /** Listeners look things up, so they are called when all is in place. */
  const settle = (): void => {
    const before = index;
    index = indexUpstreams(known.values(), isServiceConfigured);
    noteNew('superseded', index.supersededIds, before.supersededIds);
    noteNew('unnamed', index.unconfiguredIds, before.unconfiguredIds);
    const told = changes;
    changes = [];
    for (const change of told) options.onChange(change);
    options.onIndexed?.();
  };

  const contestOne = (id: string, successor?: UpstreamEntry): void => {
    const upstream = known.get(id);
    if (upstream === undefined) return;
    const contest = contests.get(id);
    // A deadline that moved with each such entry would never come.
    const untilMillis = contest?.untilMillis ?? nowMillis() + contestedMillis;
    contests.set(id, {untilMillis, successor});
    if (contest === undefined) note('contested', upstream.entry);
  };

  const store = (entry: UpstreamEntry, before?: KnownUpstream): void => {
    missing.forget(entry.id);
    contests.delete(entry.id);
    leftStarts.delete(entry.id);
    const now = nowMillis();
    known.set(entry.id, {
      entry,
      coldUntilMillis: now + entry.coldLeftMillis,
      firstSeenMillis: before?.firstSeenMillis ?? now,
    });
  };

  const noteState = (entry: UpstreamEntry, wasDraining: boolean): void => {
    if (entry.isDraining === wasDraining) return;
    note(entry.isDraining ? 'draining' : 'ready', entry);
  };

  /**
   * Whether an entry may come from the copy that the source was restored from.
   * Those of upstreams that have ended are not written any more, and the platform has
   * dropped them after this time.
   */
  const mayBeCopied = (): boolean => nowMillis() < copiedUntilMillis;

  /** One start serves one service; an entry that names another is not its own. */
  const losesName = (entry: UpstreamEntry, before: UpstreamEntry): boolean =>
    isServiceConfigured(before.service) && !isServiceConfigured(entry.service);

  const putSameStart = (entry: UpstreamEntry, before: KnownUpstream): void => {
    if (isOvertaken(entry, before.entry, mayBeCopied())) return;
    if (losesName(entry, before.entry)) {
      contestOne(entry.id);
      return;
    }
    store(entry, before);
    noteState(entry, before.entry.isDraining);
  };

  /**
   * A restored copy may list a start that has ended, and that a later one under
   * its id replaced since. It says nothing of the later one, and must not take its
   * place once that one is silent.
   */
  const isEarlierCopy = (entry: UpstreamEntry): boolean => {
    if (!mayBeCopied()) return false;
    if (leftStarts.isOutdated(entry)) return true;
    const before = known.get(entry.id);
    return (
      before !== undefined && compareStarts(entry, before.entry) === 'earlier'
    );
  };

  const putOne = (entry: UpstreamEntry): void => {
    const before = known.get(entry.id);
    if (before === undefined) {
      store(entry);
      note('joined', entry);
      return;
    }
    switch (compareStarts(entry, before.entry)) {
      case 'earlier':
        contestOne(entry.id, entry);
        return;
      case 'same':
        putSameStart(entry, before);
        return;
      default:
        store(entry);
        note('restarted', entry);
        noteState(entry, false);
    }
  };

  const forget = (upstream: KnownUpstream): void => {
    const {entry} = upstream;
    missing.forget(entry.id);
    contests.delete(entry.id);
    known.delete(entry.id);
    leftStarts.add(entry);
    note('left', entry);
  };

  const removeOne = (id: string, wasRemoved: boolean): void => {
    const upstream = known.get(id);
    if (upstream === undefined) return;
    const verdict = missing.markMissing(id, wasRemoved);
    if (verdict === 'gone') forget(upstream);
    if (verdict === 'kept') note('kept', upstream.entry);
  };

  const endContest = (id: string, contest: Contest): void => {
    const upstream = known.get(id);
    if (upstream === undefined || nowMillis() < contest.untilMillis) return;
    forget(upstream);
    if (contest.successor !== undefined) putOne(contest.successor);
  };

  return {
    put: entries => {
      for (const entry of entries) {
        if (!isEarlierCopy(entry)) putOne(entry);
      }
      settle();
    },
    markContested: ids => {
      for (const id of ids) contestOne(id);
      settle();
    },
    remove: ids => {
      for (const id of ids) removeOne(id, true);
      settle();
    },
    replaceAll: (entries, contestedIds = []) => {
      const current = entries.filter(entry => !isEarlierCopy(entry));
      const present = new Set([
        ...current.map(entry => entry.id),
        ...contestedIds,
      ]);
      for (const entry of current) putOne(entry);
      for (const id of contestedIds) contestOne(id);
      for (const id of [...known.keys()]) {
        if (!present.has(id)) removeOne(id, false);
      }
      settle();
    },
    markSourceLost: missing.markSourceLost,
    markSourceRecovered: missing.markSourceRecovered,
    markSourceRestored: () => {
      missing.markSourceRestored();
      copiedUntilMillis = nowMillis() + REAPPEAR_GRACE_MILLIS + contestedMillis;
    },
    reindex: settle,
    removeExpired: () => {
      if (missing.count + contests.size === 0) return;
      for (const id of missing.expiredIds()) {
        const upstream = known.get(id);
        if (upstream !== undefined) forget(upstream);
      }
      for (const [id, contest] of [...contests]) endContest(id, contest);
      settle();
    },
    listReady: service => index.readyByService.get(service) ?? [],
    find: id => known.get(id),
    hasLeft: id => leftStarts.has(id) || index.supersededIds.has(id),
    hosts: () => index.latestByHost.values(),
    findByHost: hostKey => index.latestByHost.get(hostKey),
    count: () => known.size,
  };
}

/**
 * Whether one start has published something newer before. Without births an id that
 * starts again cannot be distinguished from one that goes on, and counts anew; a smaller
 * count is then an older entry only if it may come from a restored copy. Taken for
 * a new start there, an upstream that drains would get requests again.
 */
function isOvertaken(
  entry: UpstreamEntry,
  before: UpstreamEntry,
  mayBeCopied: boolean,
): boolean {
  if (entry.bornMillis === undefined && !mayBeCopied) return false;
  return (entry.sequenceNumber ?? 0) < (before.sequenceNumber ?? 0);
}
