/**
 * Payloads of messages between nodes: a header in JSON and the bytes of a body.
 */

const LENGTH_BYTES = 4;

/** A message with the body that came with it. */
export interface WithBody<T> {
  readonly message: T;
  readonly body: Buffer;
}

/** Writes a header and the body after it. */
export function joinPayload(header: unknown, body: Buffer): Buffer {
  const text = JSON.stringify(header);
  const headerBytes = Buffer.byteLength(text);
  const payload = Buffer.allocUnsafe(LENGTH_BYTES + headerBytes + body.length);
  payload.writeUInt32BE(headerBytes, 0);
  payload.write(text, LENGTH_BYTES);
  body.copy(payload, LENGTH_BYTES + headerBytes);
  return payload;
}

/** A header and the body after it. */
export interface PayloadParts {
  readonly header: readonly unknown[];
  readonly body: Buffer;
}

/** Reads both; `undefined` if the bytes are none. */
export function splitPayload(payload: Buffer): PayloadParts | undefined {
  if (payload.length < LENGTH_BYTES) return undefined;
  const end = LENGTH_BYTES + payload.readUInt32BE(0);
  if (end > payload.length) return undefined;
  const header = parseJson(payload.toString('utf8', LENGTH_BYTES, end));
  if (!Array.isArray(header)) return undefined;
  return {header: header as readonly unknown[], body: payload.subarray(end)};
}

/** Parses JSON; `undefined` if the text is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Whether a value of a header is a number that can be worked with. */
export function isFiniteNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}

/** Whether all values are texts. */
export function areStrings(values: readonly unknown[]): boolean {
  for (const value of values) {
    if (typeof value !== 'string') return false;
  }
  return true;
}

/** Reads each item of a list; `undefined` if any cannot be read. */
export function parseList<T>(
  value: unknown,
  read: (item: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items = (value as readonly unknown[]).map(read);
  return items.every(item => item !== undefined) ? items : undefined;
}
