/**
 * The policies the process knows: the one in force and recent ones.
 */
import type {Event} from '../base/event.js';
import type {CompiledPolicy} from '../version/policy.js';

/** What became of an offered document. */
export type PolicyOfferResult =
  | {readonly kind: 'accepted'; readonly version: number}
  | {readonly kind: 'already-held'}
  | {readonly kind: 'older'; readonly heldVersion: number}
  /** Same version, other content: an operator error told loudly. */
  | {readonly kind: 'digest-conflict'; readonly version: number}
  | {readonly kind: 'invalid'; readonly problems: readonly string[]};

/** Accepts documents; the version in force never decreases. */
export abstract class PolicyStore {
  /** The newest accepted policy; relayed to peers at once. */
  abstract newest(): CompiledPolicy | undefined;
  /**
   * The policy under which new requests enter; follows `newest` after the
   * activation time so that peers hold a version before calls refer to it.
   */
  abstract inForce(): CompiledPolicy | undefined;
  /** A recent policy by version, for calls that entered under it. */
  abstract byVersion(version: number): CompiledPolicy | undefined;
  /** Checks and, if newer and valid, accepts a document as published. */
  abstract offer(documentBytes: Uint8Array, source: string): PolicyOfferResult;
  /** Fires after a version was accepted. */
  abstract readonly onDidAccept: Event<CompiledPolicy>;
  /** Fires when a version came into force. */
  abstract readonly onDidActivate: Event<CompiledPolicy>;
}
