/**
 * Tracks whether the upstream of this host accepts requests, from the published entries
 * and from its reachability.
 */
import type {Disposable} from '../base/lifecycle.js';
import {toDisposable} from '../base/lifecycle.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {HopReason} from '../protocol/hop_messages.js';
import type {DispatchTurn} from './first_dispatch.js';
import {createFirstDispatches} from './first_dispatch.js';

/** State of the upstream of this host. */
export interface LocalUpstream {
  /**
   * Why a request for this upstream id is refused on arrival; `undefined` if it is
   * accepted. One request per interval is accepted as a probe of an unreachable upstream.
   */
  refusalFor(upstreamId: string): HopReason | undefined;
  /** Why an admitted request must no longer be dispatched; `undefined` if it may be. */
  leavingReason(upstreamId: string): HopReason | undefined;
  /** Records that a connection to the upstream failed. */
  markUnreachable(): void;
  /**
   * Records that the upstream rejected this id and returned its actual one. Requests for
   * the rejected id are dispatched with the actual one only if both have the same service.
   */
  markMisdirected(upstreamId: string, actualId: string | undefined): void;
  /** Current upstream id for requests with the given, possibly outdated, id. */
  currentIdOf(upstreamId: string): string;
  /** Records that the upstream responded to a request with this id, sent at this time. */
  markAnswered(upstreamId: string, sentMillis: number): void;
  /** Decides when a request with this id may be dispatched. */
  acquireDispatchTurn(upstreamId: string): DispatchTurn;
  /** Records that the upstream can be reached. */
  markReached(): void;
  /** False while connections to the upstream fail. */
  readonly isReachable: boolean;
  /**
   * Calls the listener when the upstream may have ended. Requests in progress may still
   * run: an upstream at its connection limit refuses further connections as well.
   */
  onSuspected(listener: () => void): Disposable;
  /** Records that the upstream started or restarted. */
  markStarted(): void;
  /** Calls the listener when the upstream has started or restarted. */
  onStarted(listener: () => void): Disposable;
  /** Refuses all further requests, because this node is stopping. */
  startDraining(): void;
}

/** Dependencies of the local upstream state. */
export interface LocalUpstreamOptions {
  readonly directory: UpstreamDirectory;
  /**
   * Reads the service of the upstream of this host from the settings file; `undefined` if
   * the file cannot be read.
   */
  readonly readOwnService: () => string | undefined;
  /** Shortest time from the end of an upstream until another service has its address. */
  readonly addressReuseMillis: number;
  readonly nowMillis: () => number;
  readonly onChange: (isReachable: boolean) => void;
  /** Called when the upstream has rejected an id, at most once per `REJECTED_ID_MILLIS`. */
  readonly onIdRejected?: ((rejection: IdRejection) => void) | undefined;
}

/** An id that the upstream has rejected, and what is known about its actual one. */
export interface IdRejection {
  readonly upstreamId: string;
  readonly actualId: string | undefined;
  /** Service of the rejected id, from its entry. */
  readonly service: string | undefined;
  /**
   * Service of the actual id, from its entry or else from the settings file; `undefined` if
   * neither proves it.
   */
  readonly actualService: string | undefined;
  /** Whether requests for the rejected id are dispatched with the actual one. */
  readonly isReplaced: boolean;
}

/**
 * Interval between connection attempts to an unreachable upstream. Each attempt uses one
 * request, which is refused at once if the attempt fails.
 */
const RETRY_MILLIS = 150;

/** Consecutive failed connections after which the upstream may have ended. */
const SUSPECTED_FAILURES_COUNT = 2;

/**
 * How long a rejected id is cached. After a power loss, entries of earlier starts are
 * listed for seconds, and each request dispatched for one of them costs a retry at the
 * next upstream, of which the fleet allows few. The cache expires because a single
 * response may be faulty.
 */
const REJECTED_ID_MILLIS = 1000;

/** A request that the upstream responded to. */
interface AnsweredRequest {
  readonly upstreamId: string;
  readonly sentMillis: number;
}

/** An id that the upstream has rejected. */
interface RejectedId {
  readonly untilMillis: number;
  /** Id that the upstream returned. */
  readonly actualId: string | undefined;
  /** Current id of the upstream, if it may execute requests for the rejected one. */
  readonly currentId: string | undefined;
}

/** Creates the state of an upstream that is assumed to be reachable. */
export function createLocalUpstream(
  options: LocalUpstreamOptions,
): LocalUpstream {
  const {directory, nowMillis} = options;
  const suspectedListeners = new Set<() => void>();
  const startedListeners = new Set<() => void>();
  let failuresInARow = 0;
  let retryAtMillis = 0;
  let isDraining = false;
  const startMillis = nowMillis();
  let lastAnswered: AnsweredRequest | undefined;
  const rejectedIds = new Map<string, RejectedId>();
  const firstDispatches = createFirstDispatches();

  const findRejectedId = (upstreamId: string): RejectedId | undefined => {
    const known = rejectedIds.get(upstreamId);
    if (known === undefined || nowMillis() < known.untilMillis) return known;
    rejectedIds.delete(upstreamId);
    return undefined;
  };

  const currentIdOf = (upstreamId: string): string =>
    findRejectedId(upstreamId)?.currentId ?? upstreamId;

  const misdirectedReason = (upstreamId: string): HopReason | undefined => {
    const known = findRejectedId(upstreamId);
    if (known === undefined || known.currentId !== undefined) return undefined;
    return 'other-upstream';
  };

  /**
   * Whether the upstream with this id may have ended so long ago that its address has been
   * assigned to another service. It ran when it was sent a request that it responded to.
   */
  const mayAddressBeReused = (upstreamId: string): boolean => {
    const isOtherId =
      lastAnswered !== undefined && lastAnswered.upstreamId !== upstreamId;
    if (isOtherId) return true;
    const sinceMillis = lastAnswered?.sentMillis ?? startMillis;
    return nowMillis() - sinceMillis >= options.addressReuseMillis;
  };

  /**
   * Service of the upstream with the actual id, from its entry. The settings tell it only
   * until the address may have been assigned to another service, since they may be changed
   * after its upstream has started; they are read again for the latest change.
   */
  const findActualService = (
    upstreamId: string,
    actualId: string,
  ): string | undefined => {
    const published = directory.find(actualId);
    if (published !== undefined) return published.entry.service;
    if (mayAddressBeReused(upstreamId)) return undefined;
    return options.readOwnService();
  };

  /**
   * A restarted upstream of the same service may execute requests that were meant for its
   * earlier start and never reached it. The old entry may instead belong to another
   * service whose address this upstream now uses.
   */
  const findReplacementId = (
    upstreamId: string,
    actualId: string | undefined,
  ): string | undefined => {
    const service = directory.find(upstreamId)?.entry.service;
    const actualService =
      actualId === undefined
        ? undefined
        : findActualService(upstreamId, actualId);
    const isReplaced = service !== undefined && service === actualService;
    options.onIdRejected?.({
      upstreamId,
      actualId,
      service,
      actualService,
      isReplaced,
    });
    return isReplaced ? actualId : undefined;
  };

  const unreachableReason = (): HopReason | undefined => {
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
    if (
      directory.hasAnnouncedLeaving(upstreamId) ||
      directory.hasAnnouncedLeaving(currentIdOf(upstreamId))
    ) {
      return 'leaving';
    }
    return undefined;
  };

  const markReached = (): void => {
    if (failuresInARow > 0) options.onChange(true);
    failuresInARow = 0;
  };

  return {
    refusalFor: upstreamId =>
      leavingReason(upstreamId) ??
      misdirectedReason(upstreamId) ??
      unreachableReason(),
    leavingReason,
    markUnreachable: () => {
      failuresInARow += 1;
      retryAtMillis = nowMillis() + RETRY_MILLIS;
      if (failuresInARow === 1) {
        options.onChange(false);
        firstDispatches.reset();
      }
      if (failuresInARow < SUSPECTED_FAILURES_COUNT) return;
      for (const listener of [...suspectedListeners]) listener();
    },
    markMisdirected: (upstreamId, actualId) => {
      const known = findRejectedId(upstreamId);
      const currentId =
        known !== undefined && known.actualId === actualId
          ? known.currentId
          : findReplacementId(upstreamId, actualId);
      rejectedIds.set(upstreamId, {
        untilMillis: nowMillis() + REJECTED_ID_MILLIS,
        actualId,
        currentId,
      });
      firstDispatches.settle(upstreamId);
    },
    markAnswered: (upstreamId, sentMillis) => {
      markReached();
      lastAnswered = {upstreamId, sentMillis};
      firstDispatches.settle(upstreamId);
      const known = findRejectedId(upstreamId);
      if (known?.currentId === undefined) return;
      // The upstream has just responded with its current id. Without this extension, each
      // second one request would be dispatched with the old id and then once more.
      rejectedIds.set(upstreamId, {
        ...known,
        untilMillis: nowMillis() + REJECTED_ID_MILLIS,
      });
    },
    acquireDispatchTurn: firstDispatches.acquireTurn,
    currentIdOf,
    markReached,
    get isReachable() {
      return failuresInARow === 0;
    },
    onSuspected: listener => addListener(suspectedListeners, listener),
    markStarted: () => {
      rejectedIds.clear();
      firstDispatches.reset();
      markReached();
      for (const listener of [...startedListeners]) listener();
    },
    onStarted: listener => addListener(startedListeners, listener),
    startDraining: () => {
      isDraining = true;
    },
  };
}

function addListener(
  listeners: Set<() => void>,
  listener: () => void,
): Disposable {
  listeners.add(listener);
  return toDisposable(() => {
    listeners.delete(listener);
  });
}
