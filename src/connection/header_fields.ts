/**
 * Selection of header fields that may pass from one connection to another.
 */

/** One header field as received. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

const OWN_PREFIX = 'fulmarhollow-';

/** Fields that describe one connection or message framing, not the content. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
  'host',
]);

/**
 * Fields that pass on end to end. Own fields never pass, so that neither a
 * caller nor an upstream can forge a context, an outcome or a load report.
 */
export function endToEndFields(
  rawHeaders: readonly string[],
): readonly HeaderField[] {
  const named = connectionOptions(rawHeaders);
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerName = name.toLowerCase();
    if (HOP_BY_HOP.has(lowerName)) continue;
    if (lowerName.startsWith(OWN_PREFIX)) continue;
    if (named.has(lowerName)) continue;
    fields.push({name, value: rawHeaders[index + 1] ?? ''});
  }
  return fields;
}

/** Fields that the Connection header declares to be hop-by-hop. */
function connectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
  const options = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const option of (rawHeaders[index + 1] ?? '').split(',')) {
      options.add(option.trim().toLowerCase());
    }
  }
  return options;
}

/** Flat list of names and values as Node's `http` takes it. */
export function toRawHeaders(fields: readonly HeaderField[]): string[] {
  const rawHeaders: string[] = [];
  for (const field of fields) rawHeaders.push(field.name, field.value);
  return rawHeaders;
}
