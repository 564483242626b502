/**
 * Whether this node reads the platform, and as what.
 */
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {FleetView} from '../process/fleet_view.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {SelectingHost} from '../process/peer_selection.js';
import {electReaders} from '../process/reader_election.js';

/** Why and how this node asks the platform. */
export type ReaderRole =
  /** Elected for its zone: holds watches. */
  | 'reader'
  /** Has no peer or no host list: reads at a bounded rate. */
  | 'isolated'
  /** Relies on the readers. */
  | 'standby';

/** The present role. */
export interface ReaderRoleTracker extends Disposable {
  role(): ReaderRole;
  readonly onDidChange: Event<ReaderRole>;
}

/** Options of `createReaderRoleTracker`. */
export interface ReaderRoleOptions {
  readonly own: SelectingHost;
  readonly zoneReadersCount: number;
  readonly fleetView: FleetView;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Open streams to peers. */
  readonly openLinksCount: () => number;
  readonly onDidChangeLinks: Event<number>;
}

/** Follows the list, the statuses and the streams. */
export function createReaderRoleTracker(
  options: ReaderRoleOptions,
): ReaderRoleTracker {
  const {own, fleetView, metrics, logger} = options;
  const store = createDisposableStore();
  const changed = store.add(createEmitter<ReaderRole>());
  let isElected = elect();
  let role = currentRole();

  function elect(): boolean {
    const {zoneReadersCount} = options;
    const zone = own.availabilityZone;
    return electReaders(zone, zoneReadersCount, fleetView).includes(
      own.hostName,
    );
  }

  function currentRole(): ReaderRole {
    if (isElected) return 'reader';
    // Readers are elected from the list. Without one, nodes that rely on each
    // other's reading would wait for good; `platform.role_changes` shows it.
    if (fleetView.listRevision() === 0) return 'isolated';
    return options.openLinksCount() === 0 ? 'isolated' : 'standby';
  }

  function update(): void {
    const next = currentRole();
    if (next === role) return;
    if (next === 'reader') logger.info('platform-reader-started');
    if (role === 'reader') logger.info('platform-reader-stopped');
    role = next;
    metrics.increment('platform.role_changes', {role});
    changed.fire(role);
  }

  function reelect(): void {
    isElected = elect();
    update();
  }

  store.add(fleetView.onDidChangeList(reelect));
  store.add(
    fleetView.onDidLearnStatuses(statuses => {
      const isOwnZone = statuses.some(
        ({hostName}) =>
          fleetView.host(hostName)?.host.availabilityZone ===
          own.availabilityZone,
      );
      if (isOwnZone) reelect();
    }),
  );
  store.add(options.onDidChangeLinks(update));
  return {
    role: () => role,
    onDidChange: changed.event,
    dispose: () => {
      store.dispose();
    },
  };
}
