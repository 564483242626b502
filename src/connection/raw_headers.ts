/**
 * Flat lists of header fields: name, value, name, value.
 */

/** Names and values, alternating, in the order received. */
export type RawHeaders = readonly string[];

/** Headers that apply to a single connection (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that frame a body; each sender sets them anew. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'expect',
]);

/**
 * Header fields to forward: without connection headers, framing headers, and
 * the headers in `dropped`.
 */
export function forwardedHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): string[] {
  return withoutConnectionHeaders(
    headers,
    lowerName => FRAMING_HEADERS.has(lowerName) || dropped.has(lowerName),
  );
}

/**
 * Header fields without connection headers, but with framing headers; saves
 * about 60 bytes per response between zones.
 */
export function withoutConnectionHeaders(
  headers: RawHeaders,
  isDropped: (lowerName: string) => boolean = () => false,
): string[] {
  const options = parseConnectionOptions(headers);
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lowerName = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lowerName) || options.has(lowerName)) continue;
    if (isDropped(lowerName)) continue;
    kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}

const NO_OPTIONS: ReadonlySet<string> = new Set();

/** Common values of `Connection` that are options and not names of headers. */
const COMMON_CONNECTION_OPTIONS: ReadonlySet<string> = new Set([
  'keep-alive',
  'close',
]);

function parseConnectionOptions(headers: RawHeaders): ReadonlySet<string> {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'connection') continue;
    const value = headers[index + 1] ?? '';
    if (COMMON_CONNECTION_OPTIONS.has(value)) return NO_OPTIONS;
    const names = value.split(',').map(name => name.trim().toLowerCase());
    return new Set(names);
  }
  return NO_OPTIONS;
}
