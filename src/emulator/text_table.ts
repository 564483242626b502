/**
 * Plain text tables for terminals.
 */

const COLUMN_GAP = '  ';

/** Formats rows under headings; columns are as wide as their widest cell. */
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
