/**
 * Formats state dumps as an aligned table.
 */

/** One scalar value of a state dump. */
interface StateRow {
  readonly host: string;
  readonly section: string;
  readonly field: string;
  readonly value: string;
}

const COLUMNS = ['host', 'section', 'field', 'value'] as const;
const COLUMN_GAP = '  ';

/** Items shown of a list; the others are only counted. */
const MAX_SHOWN_ITEMS_COUNT = 20;

/** Flattens the sections of a host into rows. */
export function toStateRows(
  host: string,
  sections: Readonly<Record<string, unknown>>,
): readonly StateRow[] {
  return Object.entries(sections).flatMap(([section, content]) =>
    flattenValue(content, '').map(({field, value}) => ({
      host,
      section,
      field,
      value,
    })),
  );
}

/** Formats a table with a header; columns are as wide as their content. */
export function formatStateTable(rows: readonly StateRow[]): string {
  const heading = {
    host: 'HOST',
    section: 'SECTION',
    field: 'FIELD',
    value: 'VALUE',
  };
  const lines = [heading, ...rows];
  const widths = COLUMNS.map(column =>
    lines.reduce((width, line) => Math.max(width, line[column].length), 0),
  );
  return lines
    .map(line =>
      COLUMNS.map((column, index) => line[column].padEnd(widths[index] ?? 0))
        .join(COLUMN_GAP)
        .trimEnd(),
    )
    .join('\n');
}

interface FlatField {
  readonly field: string;
  readonly value: string;
}

function flattenValue(content: unknown, field: string): readonly FlatField[] {
  if (Array.isArray(content)) return flattenList(content, field);
  if (typeof content !== 'object' || content === null) {
    return [{field, value: formatScalar(content)}];
  }
  const entries = Object.entries(content);
  if (entries.length === 0) return [{field, value: '(none)'}];
  return entries.flatMap(([name, value]) =>
    flattenValue(value, field === '' ? name : `${field}.${name}`),
  );
}

function flattenList(
  items: readonly unknown[],
  field: string,
): readonly FlatField[] {
  if (items.length === 0) return [{field, value: '(none)'}];
  const shown = items.slice(0, MAX_SHOWN_ITEMS_COUNT);
  const fields = shown.flatMap((item, index) =>
    flattenValue(item, `${field}[${String(index)}]`),
  );
  const hiddenCount = items.length - shown.length;
  if (hiddenCount === 0) return fields;
  return [...fields, {field, value: `(${String(hiddenCount)} more)`}];
}

/** Replaces control characters, which could move the terminal cursor. */
function formatScalar(value: unknown): string {
  return String(value).replace(/\p{Cc}/gu, ' ');
}
