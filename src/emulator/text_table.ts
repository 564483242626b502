/**
 * Plain text tables for terminal output.
 */

const COLUMN_GAP = '  ';

/** Formats a table; each column is as wide as its widest cell. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0)),
  );
  const format = (row: readonly string[]): string =>
    `  ${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(COLUMN_GAP)}`.trimEnd();
  const rule = widths.map(width => '-'.repeat(width));
  return `${[headings, rule, ...rows].map(format).join('\n')}\n`;
}
