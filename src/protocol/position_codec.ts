/**
 * Encodes and decodes document source positions in messages between nodes.
 */
import type {PositionFields} from './hop_messages.js';
import {isFiniteNumber} from './message_payload.js';

/** Revision, 0 if there is none, and epoch. */
export type PositionList = readonly [number, number];

/** Converts a position to its encoded form. */
export function toPositionList(
  position: PositionFields | undefined,
): PositionList {
  return position === undefined ? [0, 0] : [position.revision, position.epoch];
}

/** Parses a position; nodes of the previous version send no epoch. */
export function parsePosition(
  revision: unknown,
  epoch: unknown,
): PositionFields | undefined {
  if (!isFiniteNumber(revision) || revision <= 0) return undefined;
  return {epoch: isFiniteNumber(epoch) ? epoch : 0, revision};
}
