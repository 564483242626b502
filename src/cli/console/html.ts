/**
 * HTML templates that escape every inserted value.
 */

/** Escaped markup; created only by `html`. */
export interface Html {
  readonly markup: string;
}

/** Value that can be inserted; text is escaped. */
export type HtmlPart = Html | string | number | readonly HtmlPart[];

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/**
 * Template tag. Values are allowed only between tags and inside quoted attribute
 * values, where the escaping is sufficient.
 */
export function html(
  literals: TemplateStringsArray,
  ...parts: readonly HtmlPart[]
): Html {
  const [first = '', ...rest] = literals.map(dropIndentation);
  const tail = rest.map((literal, index) => {
    const part = parts[index];
    return (part === undefined ? '' : render(part)) + literal;
  });
  return {markup: first + tail.join('')};
}

/** Removes source indentation, which would be much of the size of a large page. */
function dropIndentation(literal: string): string {
  return literal.replace(/\n\s+/g, '\n');
}

export const EMPTY_HTML: Html = {markup: ''};

function render(part: HtmlPart): string {
  if (typeof part === 'string') return escapeText(part);
  if (typeof part === 'number') return String(part);
  if (isList(part)) return part.map(render).join('');
  return part.markup;
}

function isList(part: HtmlPart): part is readonly HtmlPart[] {
  return Array.isArray(part);
}

function escapeText(text: string): string {
  return text.replace(/[&<>"']/g, character => ENTITIES[character] ?? '');
}

/** Renders text between backquotes as code. */
export function renderCodeSpans(text: string): readonly Html[] {
  return text
    .split('`')
    .map((part, index) =>
      index % 2 === 0 ? html`${part}` : html`<code>${part}</code>`,
    );
}
