/**
 * Which nodes of an availability zone watch the platform.
 */
import {rendezvousOrder} from '../base/hash.js';
import type {FleetView} from './fleet_view.js';

/**
 * Names the readers of a zone: the first by rendezvous among its hosts that
 * accept work. Every node that holds the same list and statuses names the same
 * ones; while views differ there may be more readers for a moment, and a zone
 * with a host always has one.
 */
export function electReaders(
  availabilityZone: string,
  zoneReadersCount: number,
  fleetView: FleetView,
): readonly string[] {
  const candidates = fleetView
    .hostsIn(availabilityZone)
    .filter(known => known.acceptsNewWork);
  return rendezvousOrder(
    `reader\u0000${availabilityZone}`,
    candidates,
    known => known.host.name,
  )
    .slice(0, Math.max(1, zoneReadersCount))
    .map(known => known.host.name);
}
