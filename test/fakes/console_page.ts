/**
 * Parses a page of the operator console, as a browser or a user reads it.
 */

const CONTROL_PATTERN = /<input([^>]*)>|<select([^>]*)>([\s\S]*?)<\/select>/g;
const ENTITIES: Readonly<Record<string, string>> = {
  amp: '&',
  lt: '<',
  gt: '>',
  quot: '"',
  '#39': "'",
};

/** Returns the names and values of all form controls of a page. */
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

/** Returns the messages shown beside fields, by field name. */
export function readProblems(page: string): ReadonlyMap<string, string> {
  const matches = page.matchAll(/data-problem-of="([^"]*)">([^<]+)</g);
  return new Map(
    [...matches].map(([, name = '', text = '']) => [name, unescapeText(text)]),
  );
}

/** Decodes the HTML entities that the console writes. */
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
