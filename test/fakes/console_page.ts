/**
 * What a browser would send from a page of the console.
 */

const CONTROL_PATTERN = /<input([^>]*)>|<select([^>]*)>([\s\S]*?)<\/select>/g;
const ENTITIES: Readonly<Record<string, string>> = {
  amp: '&',
  lt: '<',
  gt: '>',
  quot: '"',
  '#39': "'",
};

/** Reads all named controls of a page with their values. */
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

/** Names and messages of the problems shown beside fields. */
export function readProblems(page: string): ReadonlyMap<string, string> {
  const places = page.matchAll(/data-problem-of="([^"]*)">([^<]+)</g);
  return new Map(
    [...places].map(([, name = '', text = '']) => [name, unescapeText(text)]),
  );
}

/** Text as it was before it was escaped. */
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
