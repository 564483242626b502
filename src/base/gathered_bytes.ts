/**
 * Bytes that arrive in pieces, held in about as much memory as there are bytes.
 *
 * Load pattern: a faulty sender splits a body into pieces of one byte. Each piece is an
 * object with a buffer of its own, so that a limit on the bytes of bodies does not limit
 * the memory that they take.
 */

/** Bytes in the order in which they were added. */
export interface GatheredBytes {
  readonly lengthBytes: number;
  /** Adds a piece; the caller no longer writes to it. */
  add(piece: Buffer): void;
  /** Returns all bytes; nothing is added afterwards. */
  take(): Buffer;
}

/** Capacity for the first pieces that are copied: a usual body has one or two. */
const MIN_CAPACITY_BYTES = 4096;

/** The capacity is doubled, so that each byte is copied twice on average. */
const GROWTH_FACTOR = 2;

const EMPTY: Buffer = Buffer.alloc(0);

/** Creates an empty sequence; a single piece is returned without a copy. */
export function createGatheredBytes(): GatheredBytes {
  let bytes: Buffer = EMPTY;
  let lengthBytes = 0;
  let isCopy = false;

  const reserve = (neededBytes: number): void => {
    if (isCopy && neededBytes <= bytes.length) return;
    const capacityBytes = Math.max(
      MIN_CAPACITY_BYTES,
      neededBytes * GROWTH_FACTOR,
    );
    const grown = Buffer.allocUnsafeSlow(capacityBytes);
    bytes.copy(grown, 0, 0, lengthBytes);
    bytes = grown;
    isCopy = true;
  };

  return {
    get lengthBytes() {
      return lengthBytes;
    },
    add: piece => {
      if (lengthBytes === 0) {
        bytes = piece;
        isCopy = false;
      } else {
        reserve(lengthBytes + piece.length);
        piece.copy(bytes, lengthBytes);
      }
      lengthBytes += piece.length;
    },
    take: () => bytes.subarray(0, lengthBytes),
  };
}
