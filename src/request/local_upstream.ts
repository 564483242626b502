/**
 * Whether the upstream of this host takes work, from what is published and
 * from whether it can be reached.
 */
import type {Disposable} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {DispatchTurn} from './first_dispatch.js';
import {createFirstDispatches} from './first_dispatch.js';

/** State of the upstream beside this node. */
export interface LocalUpstream {
  /** Why a request for this upstream is refused as it arrives. */
  refusalFor(upstreamId: string): HopReason | undefined;
  /** Why a request that was let in must not be dispatched any more. */
  leavingReason(upstreamId: string): HopReason | undefined;
  markUnreachable(): void;
  /** The upstream says that it is not the one with this id, but another. */
  markMisdirected(upstreamId: string, actualId: string | undefined): void;
  /** Id that the upstream goes by where requests name this one. */
  currentIdOf(upstreamId: string): string;
  /** The upstream has answered a request that named this id. */
  markAnswered(upstreamId: string): void;
  /** Asks whether a request that names this id may be dispatched now. */
  acquireDispatchTurn(upstreamId: string): DispatchTurn;
  markReached(): void;
  /** False while it cannot be reached. */
  readonly isReachable: boolean;
  /** Calls the listener when the upstream is taken for dead. */
  onLost(listener: () => void): Disposable;
  /** The upstream is there for the first time, or again. */
  markStarted(): void;
  /** Calls the listener when the upstream has started, or started again. */
  onStarted(listener: () => void): Disposable;
  /** This node stops: nothing new is dispatched. */
  startDraining(): void;
}

/** What it needs. */
export interface LocalUpstreamOptions {
  readonly directory: UpstreamDirectory;
  /** Service of the upstream of this host; left out, it is not known. */
  readonly ownService?: () => string;
  readonly nowMillis: () => number;
  readonly onChange: (isReachable: boolean) => void;
}

/**
 * Time between attempts to reach an upstream that did not accept: one request
 * is spent on each, and gets its refusal at once if it fails.
 */
const RETRY_MILLIS = 150;

/** Attempts in a row that must fail until requests at work are given up. */
const LOST_COUNT = 2;

/**
 * Time for which it is remembered that the upstream rejects an id. After a loss of
 * power the entries of former starts are listed for seconds, and each request
 * handed over for one is an arrival beyond the first when it goes on to the next
 * upstream; the fleet has few of these. Not for good, since one answer may be
 * faulty.
 */
const MISDIRECTED_MILLIS = 1000;

/** An id that the upstream has rejected. */
interface DeniedId {
  readonly untilMillis: number;
  /** The id that it goes by instead, if it may take what is meant for this one. */
  readonly currentId: string | undefined;
}

/** Creates the state of an upstream that is taken to be well. */
export function createLocalUpstream(
  options: LocalUpstreamOptions,
): LocalUpstream {
  const {directory, nowMillis} = options;
  const lostListeners = new Set<() => void>();
  const startedListeners = new Set<() => void>();
  let failuresInARow = 0;
  let retryAtMillis = 0;
  let isDraining = false;
  const deniedIds = new Map<string, DeniedId>();
  const firstDispatches = createFirstDispatches();

  const denied = (upstreamId: string): DeniedId | undefined => {
    const known = deniedIds.get(upstreamId);
    if (known === undefined || nowMillis() < known.untilMillis) return known;
    deniedIds.delete(upstreamId);
    return undefined;
  };

  const misdirected = (upstreamId: string): HopReason | undefined => {
    const known = denied(upstreamId);
    if (known === undefined || known.currentId !== undefined) return undefined;
    return 'other-upstream';
  };

  /**
   * A later start of the same service may take what was meant for the former one
   * and never reached it. The entry of a former start may also name a service
   * whose address this upstream has taken over.
   */
  const isOfOwnService = (upstreamId: string): boolean =>
    directory.find(upstreamId)?.entry.service === options.ownService?.();

  const unreachable = (): HopReason | undefined => {
    if (failuresInARow === 0) return undefined;
    const now = nowMillis();
    if (now < retryAtMillis) return 'unreachable';
    retryAtMillis = now + RETRY_MILLIS;
    return undefined;
  };

  const leavingReason = (upstreamId: string): HopReason | undefined => {
    if (isDraining) return 'draining';
    if (directory.hasLeft(upstreamId)) return 'other-upstream';
    if (directory.find(upstreamId)?.entry.isDraining) return 'draining';
    return undefined;
  };

  const markReached = (): void => {
    if (failuresInARow > 0) options.onChange(true);
    failuresInARow = 0;
  };

  return {
    refusalFor: upstreamId =>
      leavingReason(upstreamId) ?? misdirected(upstreamId) ?? unreachable(),
    leavingReason,
    markUnreachable: () => {
      failuresInARow += 1;
      retryAtMillis = nowMillis() + RETRY_MILLIS;
      if (failuresInARow === 1) {
        options.onChange(false);
        firstDispatches.reset();
      }
      if (failuresInARow !== LOST_COUNT) return;
      // The upstream ended without a word; what it was working on would hold
      // its slots and its callers until their deadlines.
      for (const listener of [...lostListeners]) listener();
    },
    markMisdirected: (upstreamId, actualId) => {
      deniedIds.set(upstreamId, {
        untilMillis: nowMillis() + MISDIRECTED_MILLIS,
        currentId: isOfOwnService(upstreamId) ? actualId : undefined,
      });
      firstDispatches.settle(upstreamId);
    },
    markAnswered: upstreamId => {
      markReached();
      firstDispatches.settle(upstreamId);
      const known = denied(upstreamId);
      if (known?.currentId === undefined) return;
      // It has just answered under its own id; asked again under the former one
      // each second, it would get an arrival too many each time.
      deniedIds.set(upstreamId, {
        ...known,
        untilMillis: nowMillis() + MISDIRECTED_MILLIS,
      });
    },
    acquireDispatchTurn: firstDispatches.acquireTurn,
    currentIdOf: upstreamId => denied(upstreamId)?.currentId ?? upstreamId,
    markReached,
    get isReachable() {
      return failuresInARow === 0;
    },
    onLost: listener => listenIn(lostListeners, listener),
    markStarted: () => {
      deniedIds.clear();
      firstDispatches.reset();
      markReached();
      for (const listener of [...startedListeners]) listener();
    },
    onStarted: listener => listenIn(startedListeners, listener),
    startDraining: () => {
      isDraining = true;
    },
  };
}

function listenIn(
  listeners: Set<() => void>,
  listener: () => void,
): Disposable {
  listeners.add(listener);
  return toDisposable(() => {
    listeners.delete(listener);
  });
}
