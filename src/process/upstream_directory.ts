/**
 * The upstreams a node knows, by service, with what is published about each.
 */
import type {UpstreamEntry} from './upstream_entry.js';

/** A published entry and when this node learned it. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Until when the upstream is slow after its start. */
  readonly coldUntilMillis: number;
  /** When this node first saw the entry. */
  readonly firstSeenMillis: number;
}

/** A change that deserves a log line. */
export interface DirectoryChange {
  readonly kind: 'joined' | 'draining' | 'ready' | 'left' | 'kept';
  readonly entry: UpstreamEntry;
}

/** Directory of upstreams. */
export interface UpstreamDirectory {
  /** Takes new or changed entries. */
  put(entries: readonly UpstreamEntry[]): void;
  remove(ids: readonly string[]): void;
  /** Replaces all; entries that are missing have left. */
  replace(entries: readonly UpstreamEntry[]): void;
  /** Tells the directory that the source answers again after a loss. */
  markSourceRegained(): void;
  /** Forgets entries whose time to reappear is over. */
  expire(): void;
  /** Upstreams of a service that may take new work. */
  ready(service: string): readonly KnownUpstream[];
  find(id: string): KnownUpstream | undefined;
  /** Whether an upstream was known and has left. */
  hasLeft(id: string): boolean;
  /** The newest upstream of a host. */
  atHost(hostKey: string): KnownUpstream | undefined;
  /** Upstreams of all services, one for each node of the fleet. */
  count(): number;
}

/** What a directory needs. */
export interface UpstreamDirectoryOptions {
  readonly nowMillis: () => number;
  readonly onChange: (change: DirectoryChange) => void;
}

/**
 * How long an entry that vanished while the source was away stays in use after
 * the source's return: entries that lapsed meanwhile are back within two
 * seconds if the upstream lives; one that is still missing then is gone.
 */
const REAPPEAR_MILLIS = 2000;

/**
 * The same for an entry whose removal was told after the return: it may have
 * lapsed, or its upstream has left and must get nothing two seconds later. Less
 * than that by the half second between two looks at what has aged.
 */
const LAPSED_MILLIS = 1400;

/** Ids of upstreams that left; requests for them arrive for seconds only. */
const LEFT_IDS_COUNT = 256;

/** Creates an empty directory. */
export function createUpstreamDirectory(
  options: UpstreamDirectoryOptions,
): UpstreamDirectory {
  const known = new Map<string, KnownUpstream>();
  /** Until when entries that are missing stay in use. */
  const missingUntil = new Map<string, number>();
  const leftIds = new Set<string>();
  let readyByService = new Map<string, KnownUpstream[]>();
  let newestByHost = new Map<string, KnownUpstream>();
  let keepUntilMillis = 0;

  const index = (): void => {
    readyByService = new Map();
    newestByHost = new Map();
    for (const upstream of known.values()) {
      noteHost(newestByHost, upstream);
      if (upstream.entry.isDraining) continue;
      const list = readyByService.get(upstream.entry.service) ?? [];
      list.push(upstream);
      readyByService.set(upstream.entry.service, list);
    }
  };

  const putOne = (entry: UpstreamEntry): void => {
    const before = known.get(entry.id);
    const nowMillis = options.nowMillis();
    missingUntil.delete(entry.id);
    leftIds.delete(entry.id);
    known.set(entry.id, {
      entry,
      coldUntilMillis: nowMillis + entry.coldLeftMillis,
      firstSeenMillis: before?.firstSeenMillis ?? nowMillis,
    });
    if (before === undefined) {
      options.onChange({kind: 'joined', entry});
    } else if (before.entry.isDraining !== entry.isDraining) {
      options.onChange({kind: entry.isDraining ? 'draining' : 'ready', entry});
    }
  };

  const removeOne = (id: string, keptMillis: number): void => {
    const upstream = known.get(id);
    if (upstream === undefined) return;
    const now = options.nowMillis();
    if (now < (missingUntil.get(id) ?? keepUntilMillis)) {
      if (missingUntil.has(id)) return;
      missingUntil.set(id, Math.min(keepUntilMillis, now + keptMillis));
      options.onChange({kind: 'kept', entry: upstream.entry});
      return;
    }
    missingUntil.delete(id);
    known.delete(id);
    rememberLeft(leftIds, id);
    options.onChange({kind: 'left', entry: upstream.entry});
  };

  return {
    put: entries => {
      for (const entry of entries) putOne(entry);
      index();
    },
    remove: ids => {
      for (const id of ids) removeOne(id, LAPSED_MILLIS);
      index();
    },
    replace: entries => {
      const present = new Set(entries.map(entry => entry.id));
      for (const entry of entries) putOne(entry);
      for (const id of [...known.keys()]) {
        if (!present.has(id)) removeOne(id, REAPPEAR_MILLIS);
      }
      index();
    },
    markSourceRegained: () => {
      keepUntilMillis = options.nowMillis() + REAPPEAR_MILLIS;
    },
    expire: () => {
      if (missingUntil.size === 0) return;
      for (const id of [...missingUntil.keys()]) removeOne(id, 0);
      index();
    },
    ready: service => readyByService.get(service) ?? [],
    find: id => known.get(id),
    hasLeft: id => leftIds.has(id),
    atHost: hostKey => newestByHost.get(hostKey),
    count: () => known.size,
  };
}

function rememberLeft(leftIds: Set<string>, id: string): void {
  leftIds.add(id);
  if (leftIds.size <= LEFT_IDS_COUNT) return;
  for (const oldest of leftIds) {
    leftIds.delete(oldest);
    return;
  }
}

/** An address may be used again while the entry before is still known. */
function noteHost(
  newestByHost: Map<string, KnownUpstream>,
  upstream: KnownUpstream,
): void {
  const {hostKey} = upstream.entry;
  const known = newestByHost.get(hostKey);
  if (known && known.firstSeenMillis > upstream.firstSeenMillis) return;
  newestByHost.set(hostKey, upstream);
}
