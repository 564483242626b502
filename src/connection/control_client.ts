/**
 * Control calls from this node to other nodes.
 */
import type * as Effect from 'effect/Effect';
import type {TransportError} from '../base/errors.js';
import type {Disposable} from '../base/lifecycle.js';
import type {
  ConfirmViewRequest,
  ConfirmViewResponse,
  ControlMessage,
  FetchHostListResponse,
  FetchPolicyResponse,
  HandOverKeysRequest,
  HandOverKeysResponse,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';

/** Where the control listener of another node is reached. */
export interface ControlPeer {
  readonly hostName: string;
  /** IP address. */
  readonly address: string;
  readonly controlPort: number;
}

/** Failure of a control call; carries the step and the peer. */
export type ControlCallError = InstanceType<typeof TransportError>;

/** A message without the fields that the codec adds. */
export type Fields<T> = Omit<T, '$typeName' | '$unknown'>;

/**
 * Calls to peers. Every unary call fails at its timeout; after a timeout or a
 * broken connection the next call to that peer uses a fresh connection.
 */
export abstract class ControlClient implements Disposable {
  /** Asks whether the peer holds anything newer than the given view. */
  abstract confirmView(
    peer: ControlPeer,
    request: Fields<ConfirmViewRequest>,
    timeoutMillis?: number,
  ): Effect.Effect<ConfirmViewResponse, ControlCallError>;

  /** Moves key records to a successor. */
  abstract handOverKeys(
    peer: ControlPeer,
    request: Fields<HandOverKeysRequest>,
    timeoutMillis?: number,
  ): Effect.Effect<HandOverKeysResponse, ControlCallError>;

  /** Fetches the peer's policy document if it is newer. */
  abstract fetchPolicy(
    peer: ControlPeer,
    newerThanVersion: number,
    timeoutMillis?: number,
  ): Effect.Effect<FetchPolicyResponse, ControlCallError>;

  /** Fetches the peer's host list if it is newer. */
  abstract fetchHostList(
    peer: ControlPeer,
    newerThanRevision: number,
    timeoutMillis?: number,
  ): Effect.Effect<FetchHostListResponse, ControlCallError>;

  /**
   * Opens an exchange on a connection of its own, closed with it. Ends when
   * the peer ends it, throws when it breaks; `signal` aborts it.
   */
  abstract exchange(
    peer: ControlPeer,
    outgoing: AsyncIterable<ControlMessage>,
    signal: AbortSignal,
  ): AsyncIterable<ControlMessage>;

  abstract dispose(): void;
}
