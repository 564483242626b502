/**
 * Positions in the source of the published documents, as they go with messages
 * between nodes.
 */
import type {PositionFields} from './hop_messages.js';
import {isFiniteNumber} from './message_payload.js';

/** Revision, 0 for none, and epoch. */
export type PositionList = readonly [number, number];

/** A position as it goes into a message. */
export function toPositionList(
  position: PositionFields | undefined,
): PositionList {
  return position === undefined ? [0, 0] : [position.revision, position.epoch];
}

/** Reads a position; a node of the version before sends no epoch. */
export function parsePosition(
  revision: unknown,
  epoch: unknown,
): PositionFields | undefined {
  if (!isFiniteNumber(revision) || revision <= 0) return undefined;
  return {epoch: isFiniteNumber(epoch) ? epoch : 0, revision};
}
