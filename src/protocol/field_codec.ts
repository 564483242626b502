/**
 * Flat `name=value` fields in one header, form-encoded, with typed reads.
 */
import {InvalidInputError} from '../base/errors.js';

/** Reads typed fields of one encoded header. */
export interface FieldReader {
  /** Text of a field of at most `maxLength` characters. */
  text(name: string, maxLength: number): string;
  /** Non-negative integer not above `maximum`. */
  count(name: string, maximum: number): number;
  /** `0` or `1`. */
  flag(name: string): boolean;
  has(name: string): boolean;
}

/** Encodes fields; values are numbers, flags as 0 or 1, or text. */
export function encodeFields(
  fields: Readonly<Record<string, string | number | undefined>>,
): string {
  const params = new URLSearchParams();
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) params.set(name, String(value));
  }
  return params.toString();
}

/** Opens an encoded header; reads throw `InvalidInputError`. */
export function readFields(encoded: string, step: string): FieldReader {
  const params = new URLSearchParams(encoded);
  const fail = (name: string, allowed: string): never => {
    throw new InvalidInputError(`Field '${name}' must be ${allowed}.`, {
      props: {step, peer: 'remote'},
    });
  };
  const text = (name: string, maxLength: number): string => {
    const value = params.get(name);
    if (value === null || value.length === 0 || value.length > maxLength) {
      return fail(name, `text of 1 to ${String(maxLength)} characters`);
    }
    return value;
  };
  const count = (name: string, maximum: number): number => {
    const value = params.get(name);
    const parsed =
      value !== null && /^\d{1,15}$/.test(value) ? Number(value) : -1;
    if (parsed < 0 || parsed > maximum) {
      return fail(name, `an integer from 0 to ${String(maximum)}`);
    }
    return parsed;
  };
  return {
    text,
    count,
    flag: name => count(name, 1) === 1,
    has: name => params.has(name),
  };
}
