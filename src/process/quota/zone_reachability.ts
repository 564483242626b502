/**
 * Which availability zones a node can reach, by the answers of nodes in them.
 *
 * A zone counts as cut off when several of its nodes do not answer and none has
 * been heard since, until one of them is. A single one that does not answer has most
 * likely lost its host.
 */

/** A node in its zone. */
export interface ZonedHost {
  readonly hostKey: string;
  readonly zone: string;
}

/** Reach of one node. */
export interface ZoneReachability {
  /** Something came from a zone. */
  recordReceived(zone: string): void;
  /** A node did not answer. */
  recordTimeout(host: ZonedHost): void;
  /** The host of a node refused or closed a connection: the node has ended. */
  recordClosed(host: ZonedHost): void;
  /** Whether a node did not answer, or had ended, a moment ago. */
  hasRecentFailure(host: ZonedHost): boolean;
  isPartitioned(zone: string): boolean;
  /** Time since something came from a zone. */
  sinceReceivedMillis(zone: string): number;
}

/** Time for which a node that did not answer is passed over. */
const SILENT_MILLIS = 2000;

/**
 * Time for which a node that has ended is passed over. It may be back within half a
 * second, and while some nodes have found out and others have not, two coordinators
 * each allow the quota.
 */
const CLOSED_MILLIS = 300;

/** Nodes of a zone that are silent, with none heard, until it counts as cut off. */
const SILENT_HOSTS_COUNT = 2;

interface ZoneSigns {
  heardMillis: number;
  /** When nodes did not answer, and when they were found to have ended. */
  readonly silentMillis: Map<string, number>;
  readonly closedMillis: Map<string, number>;
  isCutOff: boolean;
}

/** Creates the reach of a node that has heard from none. */
export function createZoneReachability(
  nowMillis: () => number,
): ZoneReachability {
  const signs = new Map<string, ZoneSigns>();

  const signsOf = (zone: string): ZoneSigns => {
    const known = signs.get(zone);
    if (known !== undefined) return known;
    const created: ZoneSigns = {
      heardMillis: -Infinity,
      silentMillis: new Map<string, number>(),
      closedMillis: new Map<string, number>(),
      isCutOff: false,
    };
    signs.set(zone, created);
    return created;
  };

  const isWithin = (
    millis: number | undefined,
    withinMillis: number,
  ): boolean => millis !== undefined && nowMillis() - millis < withinMillis;

  const seemsCutOff = ({heardMillis, silentMillis}: ZoneSigns): boolean => {
    const silent = [...silentMillis.values()].filter(millis =>
      isWithin(millis, SILENT_MILLIS),
    );
    if (silent.length < SILENT_HOSTS_COUNT) return false;
    return heardMillis < Math.min(...silent);
  };

  return {
    recordReceived: zone => {
      const known = signsOf(zone);
      known.heardMillis = nowMillis();
      if (known.isCutOff) known.silentMillis.clear();
      known.isCutOff = false;
    },
    recordTimeout: ({zone, hostKey}) => {
      const known = signsOf(zone);
      known.silentMillis.set(hostKey, nowMillis());
      known.isCutOff ||= seemsCutOff(known);
    },
    recordClosed: ({zone, hostKey}) => {
      const known = signsOf(zone);
      known.heardMillis = nowMillis();
      known.closedMillis.set(hostKey, nowMillis());
      known.isCutOff = false;
    },
    hasRecentFailure: ({zone, hostKey}) => {
      const known = signs.get(zone);
      if (known === undefined) return false;
      const {silentMillis, closedMillis} = known;
      return (
        isWithin(silentMillis.get(hostKey), SILENT_MILLIS) ||
        isWithin(closedMillis.get(hostKey), CLOSED_MILLIS)
      );
    },
    isPartitioned: zone => signs.get(zone)?.isCutOff ?? false,
    sinceReceivedMillis: zone =>
      nowMillis() - (signs.get(zone)?.heardMillis ?? -Infinity),
  };
}
