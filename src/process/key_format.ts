/**
 * Form of idempotency keys: bounds on length and characters, and the time of
 * creation that a UUIDv7 carries.
 */
import {validate, version} from 'uuid';

/** Longest key accepted, in characters. */
export const KEY_MAXIMUM_LENGTH = 200;

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;
const UUID_LENGTH = 36;
const TIMESTAMP_UUID_VERSION = 7;
const HEX_RADIX = 16;

/** A key that meets the bounds. */
export interface ParsedKey {
  readonly text: string;
  /** Unix milliseconds in a UUIDv7 key; undefined for an opaque key. */
  readonly createdMillis: number | undefined;
}

/** Checks a key and reads its time of creation; undefined when malformed. */
export function parseKey(text: string): ParsedKey | undefined {
  if (text.length > KEY_MAXIMUM_LENGTH) return undefined;
  if (!VISIBLE_ASCII.test(text)) return undefined;
  return {text, createdMillis: readCreatedMillis(text)};
}

/**
 * Reads the timestamp of a key that is a UUIDv7 or a zone prefix, a dot and a
 * UUIDv7.
 */
function readCreatedMillis(text: string): number | undefined {
  const uuid = text.slice(-UUID_LENGTH);
  const separator = text.at(-UUID_LENGTH - 1);
  if (separator !== undefined && separator !== '.') return undefined;
  if (!validate(uuid) || version(uuid) !== TIMESTAMP_UUID_VERSION) {
    return undefined;
  }
  const timestamp = uuid.slice(0, 8) + uuid.slice(9, 13);
  return Number.parseInt(timestamp, HEX_RADIX);
}
