/**
 * Tracks which availability zones a node can reach, by the responses of the
 * nodes there.
 *
 * A zone counts as partitioned when several of its nodes do not respond and no
 * message from it has arrived since. It stays so until a message arrives. A
 * single node that does not respond has most likely failed with its host.
 */

/** A node and its zone. */
export interface ZonedHost {
  readonly hostKey: string;
  readonly zone: string;
}

/** Reachability of zones from one node. */
export interface ZoneReachability {
  /** Records a message from a zone. */
  recordReceived(zone: string): void;
  /** Records that a node did not respond. */
  recordTimeout(host: ZonedHost): void;
  /**
   * Records that the host of a node refused or closed a connection: the node
   * has exited.
   */
  recordClosed(host: ZonedHost): void;
  /** Whether a node did not respond, or had exited, recently. */
  hasRecentFailure(host: ZonedHost): boolean;
  isPartitioned(zone: string): boolean;
  /** Time since the last message from a zone. */
  sinceReceivedMillis(zone: string): number;
}

/** Time for which a node that did not respond is skipped. */
const UNRESPONSIVE_MILLIS = 2000;

/**
 * Time for which a node that has exited is skipped. It may be back within half
 * a second, and while some nodes have detected its exit and others have not,
 * two coordinators each allow the quota.
 */
const CLOSED_MILLIS = 300;

/**
 * Unresponsive nodes of a zone from which it counts as partitioned, unless a
 * message from the zone has arrived since.
 */
const UNRESPONSIVE_HOSTS_COUNT = 2;

interface ZoneState {
  receivedMillis: number;
  /**
   * Times at which nodes did not respond, and at which they were found to have
   * exited.
   */
  readonly unansweredMillis: Map<string, number>;
  readonly closedMillis: Map<string, number>;
  isPartitioned: boolean;
}

/** Creates the state of a node that has received no message. */
export function createZoneReachability(
  nowMillis: () => number,
): ZoneReachability {
  const states = new Map<string, ZoneState>();

  const stateOf = (zone: string): ZoneState => {
    const state = states.get(zone);
    if (state !== undefined) return state;
    const created: ZoneState = {
      receivedMillis: -Infinity,
      unansweredMillis: new Map<string, number>(),
      closedMillis: new Map<string, number>(),
      isPartitioned: false,
    };
    states.set(zone, created);
    return created;
  };

  const isWithin = (
    millis: number | undefined,
    withinMillis: number,
  ): boolean => millis !== undefined && nowMillis() - millis < withinMillis;

  const isLikelyPartitioned = ({
    receivedMillis,
    unansweredMillis,
  }: ZoneState): boolean => {
    const recent = [...unansweredMillis.values()].filter(millis =>
      isWithin(millis, UNRESPONSIVE_MILLIS),
    );
    if (recent.length < UNRESPONSIVE_HOSTS_COUNT) return false;
    return receivedMillis < Math.min(...recent);
  };

  return {
    recordReceived: zone => {
      const state = stateOf(zone);
      state.receivedMillis = nowMillis();
      if (state.isPartitioned) state.unansweredMillis.clear();
      state.isPartitioned = false;
    },
    recordTimeout: ({zone, hostKey}) => {
      const state = stateOf(zone);
      state.unansweredMillis.set(hostKey, nowMillis());
      state.isPartitioned ||= isLikelyPartitioned(state);
    },
    recordClosed: ({zone, hostKey}) => {
      const state = stateOf(zone);
      state.receivedMillis = nowMillis();
      state.closedMillis.set(hostKey, nowMillis());
      state.isPartitioned = false;
    },
    hasRecentFailure: ({zone, hostKey}) => {
      const state = states.get(zone);
      if (state === undefined) return false;
      const {unansweredMillis, closedMillis} = state;
      return (
        isWithin(unansweredMillis.get(hostKey), UNRESPONSIVE_MILLIS) ||
        isWithin(closedMillis.get(hostKey), CLOSED_MILLIS)
      );
    },
    isPartitioned: zone => states.get(zone)?.isPartitioned ?? false,
    sinceReceivedMillis: zone =>
      nowMillis() - (states.get(zone)?.receivedMillis ?? -Infinity),
  };
}
