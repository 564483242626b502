/**
 * Payload format of messages between nodes: a JSON header followed by the body
 * bytes.
 */

const LENGTH_BYTES = 4;

/** A decoded message and its body. */
export interface WithBody<T> {
  readonly message: T;
  readonly body: Buffer;
}

/** Encodes a header followed by the body. */
export function joinPayload(header: unknown, body: Buffer): Buffer {
  const text = JSON.stringify(header);
  const headerBytes = Buffer.byteLength(text);
  const payload = Buffer.allocUnsafe(LENGTH_BYTES + headerBytes + body.length);
  payload.writeUInt32BE(headerBytes, 0);
  payload.write(text, LENGTH_BYTES);
  body.copy(payload, LENGTH_BYTES + headerBytes);
  return payload;
}

/** A decoded header and the body that follows it. */
export interface PayloadParts {
  readonly header: readonly unknown[];
  readonly body: Buffer;
}

/** Decodes header and body; returns `undefined` if the payload is invalid. */
export function splitPayload(payload: Buffer): PayloadParts | undefined {
  if (payload.length < LENGTH_BYTES) return undefined;
  const end = LENGTH_BYTES + payload.readUInt32BE(0);
  if (end > payload.length) return undefined;
  const header = parseJson(payload.toString('utf8', LENGTH_BYTES, end));
  if (!Array.isArray(header)) return undefined;
  return {header: header as readonly unknown[], body: payload.subarray(end)};
}

/** Parses JSON; returns `undefined` if the text is invalid. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

export function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

export function areStrings(values: readonly unknown[]): boolean {
  for (const value of values) {
    if (typeof value !== 'string') return false;
  }
  return true;
}

/** Parses each item of an array; returns `undefined` if any item is invalid. */
export function parseList<T>(
  value: unknown,
  parseItem: (item: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items = (value as readonly unknown[]).map(parseItem);
  return items.every(item => item !== undefined) ? items : undefined;
}
