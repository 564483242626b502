/**
 * Requests whose connection was lost, until they are resumed on a new connection to the
 * process that received them. Reconnects while there are any: the receiver continues its
 * work only for a limited time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Disposable} from '../base/lifecycle.js';
import {
  RECONNECT_PAUSE_MILLIS,
  RECONNECT_WINDOW_MILLIS,
  REFUSED_WINDOW_MILLIS,
} from '../process/membership/reconnect_times.js';
import type {HopConnection} from './hop_connection.js';
import type {OutgoingHop} from './outgoing_hop.js';

/** Result of opening a new connection. */
export type FreshConnectionResult = HopConnection | 'refused' | 'silent';

/** Requests to one node that have no connection. */
export interface DetachedHops extends Disposable {
  readonly count: number;
  hops(): readonly OutgoingHop[];
  /** Adds requests, and resumes them on the connection or as soon as there is one. */
  resume(hops: readonly OutgoingHop[], connection?: HopConnection): void;
  /** Cancels requests whose cancellation may have been lost with its connection. */
  cancel(hopIds: readonly string[], instanceId: string | undefined): void;
}

export interface DetachedHopsOptions {
  readonly nowMillis: () => number;
  readonly openConnection: () => Promise<FreshConnectionResult>;
  /** This many requests were resumed. */
  readonly onResumed: (hopsCount: number) => void;
}

/** A request that has ended at this node and may still run at the other one. */
interface PendingCancel {
  readonly instanceId: string | undefined;
  /** The receiver abandons reads after `RECONNECT_WINDOW_MILLIS`. */
  readonly sinceMillis: number;
}

const noop = (): void => undefined;

/** Creates an empty set. */
export function createDetachedHops(options: DetachedHopsOptions): DetachedHops {
  /** Each request with the time at which its connection was found lost. */
  const hops = new Map<OutgoingHop, number>();
  const pendingCancels = new Map<string, PendingCancel>();
  let isReconnecting = false;
  /** When the first of the latest attempts in a row was refused. */
  let refusedSinceMillis: number | undefined;
  let isDisposed = false;

  const add = (hop: OutgoingHop): void => {
    if (!hop.isOpen) return;
    hops.set(hop, options.nowMillis());
    hop.detach = () => {
      hops.delete(hop);
      addCancel(hop.hopId, hop.instanceId);
    };
  };
  const addCancel = (hopId: string, instanceId: string | undefined): void => {
    const sinceMillis = options.nowMillis();
    pendingCancels.set(hopId, {instanceId, sinceMillis});
  };
  const remove = (hop: OutgoingHop): void => {
    hops.delete(hop);
    hop.detach = noop;
  };
  /** The process that received the hop has ended, so its outcome is unknown. */
  const failHop = (hop: OutgoingHop): void => {
    remove(hop);
    hop.fail('connection-lost');
  };
  /**
   * A process that ends loses its connections and its listener for good. A connection may
   * be lost, or the listener be absent for a moment, while the process works.
   */
  const handleRefusal = (): void => {
    const now = options.nowMillis();
    refusedSinceMillis ??= now;
    const endedSinceMillis = now - REFUSED_WINDOW_MILLIS;
    const mayListen = refusedSinceMillis > endedSinceMillis;
    for (const [hopId, {sinceMillis}] of pendingCancels) {
      if (mayListen || sinceMillis > endedSinceMillis) break;
      pendingCancels.delete(hopId);
    }
    for (const [hop, sinceMillis] of [...hops]) {
      const hasEnded = !mayListen && sinceMillis <= endedSinceMillis;
      if (hasEnded) failHop(hop);
      else hop.suspectNode('upstream-lost');
    }
  };
  const resumeAll = (connection: HopConnection): void => {
    for (const [hopId, {instanceId}] of pendingCancels) {
      if (mayBeSameProcess(instanceId, connection)) {
        connection.cancelLost(hopId);
      }
    }
    pendingCancels.clear();
    let resumedCount = 0;
    for (const hop of [...hops.keys()]) {
      if (!mayBeSameProcess(hop.instanceId, connection)) {
        failHop(hop);
        continue;
      }
      remove(hop);
      connection.claim(hop);
      resumedCount += 1;
    }
    if (resumedCount > 0) options.onResumed(resumedCount);
  };
  const hasPending = (): boolean => {
    const now = options.nowMillis();
    for (const [hopId, {sinceMillis}] of pendingCancels) {
      if (sinceMillis + RECONNECT_WINDOW_MILLIS > now) break;
      pendingCancels.delete(hopId);
    }
    return hops.size > 0 || pendingCancels.size > 0;
  };
  const reconnect = async (): Promise<void> => {
    if (isReconnecting) return;
    isReconnecting = true;
    while (!isDisposed && hasPending()) {
      const result = await options.openConnection();
      if (result === 'refused') handleRefusal();
      else refusedSinceMillis = undefined;
      if (typeof result !== 'string') resumeAll(result);
      else await sleep(RECONNECT_PAUSE_MILLIS, undefined, {ref: false});
    }
    refusedSinceMillis = undefined;
    isReconnecting = false;
  };

  return {
    get count() {
      return hops.size;
    },
    hops: () => [...hops.keys()],
    resume: (lostHops, connection) => {
      for (const hop of lostHops) add(hop);
      if (connection === undefined) void reconnect();
      else resumeAll(connection);
    },
    cancel: (hopIds, instanceId) => {
      for (const hopId of hopIds) addCancel(hopId, instanceId);
      if (hopIds.length > 0) void reconnect();
    },
    dispose: () => {
      isDisposed = true;
    },
  };
}

/** A request may have been received before the reply with the id of its process. */
function mayBeSameProcess(
  instanceId: string | undefined,
  connection: HopConnection,
): boolean {
  return instanceId === undefined || instanceId === connection.instanceId;
}
