/**
 * Identity of the control protocol and its bounds, equal on all nodes.
 */

/** Raised when nodes of two releases could not understand each other. */
export const CONTROL_PROTOCOL_VERSION = 1;

/** Request headers of every control call. */
export const CONTROL_HEADER = {
  protocolVersion: 'fulmarhollow-control-protocol',
  deployment: 'fulmarhollow-deployment',
} as const;

/** Largest document of the platform that a node reads or relays. */
export const DOCUMENT_BYTES = 1_048_576;

/** Largest control message: a document and the fields around it. */
export const CONTROL_MESSAGE_BYTES = DOCUMENT_BYTES + 65_536;

/** Size from which messages are compressed: documents and full status sets. */
export const COMPRESSED_BYTES = 4096;

/** What two nodes must agree on before they exchange anything. */
export interface ControlIdentity {
  readonly protocolVersion: number;
  /** Empty while the node holds no policy. */
  readonly deployment: string;
}

/** Why two nodes may not exchange control messages. */
export type IncompatibilityReason = 'protocol-version' | 'deployment';

/** Compares two nodes; undefined when they may talk. */
export function findIncompatibility(
  own: ControlIdentity,
  other: ControlIdentity,
): IncompatibilityReason | undefined {
  if (own.protocolVersion !== other.protocolVersion) return 'protocol-version';
  if (own.deployment === '' || other.deployment === '') return undefined;
  return own.deployment === other.deployment ? undefined : 'deployment';
}
