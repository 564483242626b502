/**
 * What this host announces about itself.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {FleetView, HostPhase, HostStatus} from './fleet_view.js';
import {isNewer} from './host_status_table.js';
import type {Metrics} from './metrics.js';

/** Times at most the own status is raised above a foreign one. */
const CORRECTIONS_COUNT = 16;

/** Announces the phase of the own host. */
export abstract class StatusAnnouncer implements Disposable {
  /** Puts the phase into the fleet view, which spreads it. */
  abstract announce(phase: HostPhase): void;
  /** The latest announcement; undefined before any. */
  abstract current(): HostStatus | undefined;
  abstract dispose(): void;
}

/** Options of `createStatusAnnouncer`. */
export interface StatusAnnouncerOptions {
  readonly hostName: string;
  readonly fleetView: FleetView;
  readonly time: TimeSource;
  readonly metrics: Metrics;
}

/** Creates an announcer; its incarnation is the present wall time. */
export function createStatusAnnouncer(
  options: StatusAnnouncerOptions,
): StatusAnnouncer {
  const {hostName, fleetView, metrics} = options;
  let incarnationMillis = Math.floor(options.time.wallMillis());
  let sequence = 0;
  let current: HostStatus | undefined;
  let correctionsCount = 0;

  function announce(phase: HostPhase): void {
    sequence += 1;
    current = {hostName, incarnationMillis, sequence, phase};
    fleetView.mergeStatuses([current]);
  }

  /**
   * After a restart with a clock that was set back, the peers still hold the
   * stop announcement of the earlier process as the newer one, and the host
   * would get no work for good. So a newer status of the own host that this
   * process did not announce is overtaken. The bound ends the contest that
   * two hosts with the same name in their settings would fight.
   */
  function correct(statuses: readonly HostStatus[]): void {
    const foreign = statuses.find(
      status =>
        status.hostName === hostName &&
        current !== undefined &&
        isNewer(status, current),
    );
    if (foreign === undefined || current === undefined) return;
    metrics.increment('fleet.own_status_contested');
    if (correctionsCount >= CORRECTIONS_COUNT) return;
    correctionsCount += 1;
    incarnationMillis = foreign.incarnationMillis + 1;
    announce(current.phase);
  }

  const subscription = fleetView.onDidLearnStatuses(correct);
  return new (class extends StatusAnnouncer {
    override announce(phase: HostPhase): void {
      announce(phase);
    }
    override current(): HostStatus | undefined {
      return current;
    }
    override dispose(): void {
      subscription.dispose();
    }
  })();
}
