/**
 * Confirmation of a peer's view from what this process holds.
 */
import type {FleetView} from '../process/fleet_view.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {ViewConfirmation} from './control_handlers.js';
import {ViewConfirmer} from './control_handlers.js';

/** Options of `createViewConfirmer`. */
export interface ViewConfirmerOptions {
  readonly fleetView: FleetView;
  readonly policyStore: PolicyStore;
}

/** Creates a confirmer; a view is current if nothing newer is held here. */
export function createViewConfirmer(
  options: ViewConfirmerOptions,
): ViewConfirmer {
  const {fleetView, policyStore} = options;
  return new (class extends ViewConfirmer {
    override confirm(
      policyVersion: number,
      listRevision: number,
    ): ViewConfirmation {
      const heldVersion = policyStore.newest()?.version ?? 0;
      const heldRevision = fleetView.listRevision();
      return {
        isCurrent: policyVersion >= heldVersion && listRevision >= heldRevision,
        policyVersion: heldVersion,
        listRevision: heldRevision,
      };
    }
  })();
}
