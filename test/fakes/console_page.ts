/**
 * Reads pages of the console as a browser would.
 */

const CONTROL_PATTERN = /<input([^>]*)>|<select([^>]*)>([\s\S]*?)<\/select>/g;
const ENTITIES: Readonly<Record<string, string>> = {
  amp: '&',
  lt: '<',
  gt: '>',
  quot: '"',
  '#39': "'",
};

/** Returns the names and values of all controls of a page. */
export function readFields(page: string): URLSearchParams {
  const fields = new URLSearchParams();
  for (const [, input, select = '', options = ''] of page.matchAll(
    CONTROL_PATTERN,
  )) {
    const name = attributeOf(input ?? select, 'name');
    const selected = /<option value="([^"]*)" selected/.exec(options)?.[1];
    const value =
      input === undefined
        ? unescapeText(selected ?? '')
        : attributeOf(input, 'value');
    fields.append(name, value);
  }
  return fields;
}

/** Returns the problems shown beside fields, by form name. */
export function readProblems(page: string): ReadonlyMap<string, string> {
  const places = page.matchAll(/data-problem-of="([^"]*)">([^<]+)</g);
  return new Map(
    [...places].map(([, name = '', text = '']) => [name, unescapeText(text)]),
  );
}

/** Reverses the escaping of text. */
export function unescapeText(markup: string): string {
  return markup.replace(
    /&(amp|lt|gt|quot|#39);/g,
    (_, name: string) => ENTITIES[name] ?? '',
  );
}

function attributeOf(attributes: string, name: string): string {
  const value = new RegExp(`\\s${name}="([^"]*)"`).exec(attributes)?.[1];
  return unescapeText(value ?? '');
}
