/**
 * What the control server delegates to other modules.
 */
import type {
  ControlMessage,
  HandOverKeysRequest,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';

/** Takes over idempotency records of a stopping executor. */
export abstract class KeyHandOverReceiver {
  /** Returns how many records were accepted. */
  abstract accept(request: HandOverKeysRequest): number;
}

/** Whether a view is current, with what the answering node holds. */
export interface ViewConfirmation {
  readonly isCurrent: boolean;
  readonly policyVersion: number;
  readonly listRevision: number;
}

/** Compares a peer's view with the own one. */
export abstract class ViewConfirmer {
  abstract confirm(
    policyVersion: number,
    listRevision: number,
  ): ViewConfirmation;
}

/** Takes part in exchanges that peers open. */
export abstract class ExchangeHandler {
  /**
   * Returns the messages for the peer; ends or throws when the exchange is
   * over. `signal` fires when the peer or the connection has gone.
   */
  abstract serve(
    incoming: AsyncIterable<ControlMessage>,
    signal: AbortSignal,
  ): AsyncIterable<ControlMessage>;
}
