/**
 * Confirmation of peers' views by an elector that remembers what it confirmed.
 */
import type {ViewAcceptor} from '../process/view_acceptor.js';
import type {ViewConfirmation} from './control_handlers.js';
import {ViewConfirmer} from './control_handlers.js';

/** Creates the confirmer that leases on views are built on. */
export function createAcceptingViewConfirmer(
  acceptor: ViewAcceptor,
): ViewConfirmer {
  return new (class extends ViewConfirmer {
    override confirm(
      policyVersion: number,
      listRevision: number,
    ): ViewConfirmation {
      return acceptor.accept({policyVersion, listRevision});
    }
  })();
}
