/**
 * Field schemas shared by the document schemas. Operators see the description
 * of a field as its accepted values.
 */
import * as Schema from 'effect/Schema';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** Smallest and largest accepted value, both inclusive. */
export interface Range {
  readonly minimum: number;
  readonly maximum: number;
}

/** Lower-case name, usable as a DNS label and as a metric label. */
export const nameField = Schema.String.annotate({
  description:
    'a name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter',
}).check(Schema.isPattern(NAME_PATTERN));

/** Integer within a range; `unit` is a plural noun for the description. */
export function integerField(
  range: Range,
  unit?: string,
): Schema.Codec<number> {
  const subject = unit === undefined ? '' : ` of ${unit}`;
  return Schema.Number.annotate({
    description: `a whole number${subject}, ${describeRange(range)}`,
  }).check(Schema.isInt(), Schema.isBetween(range));
}

/** Finite number within a range, not necessarily an integer. */
export function numberField(range: Range, unit: string): Schema.Codec<number> {
  return Schema.Number.annotate({
    description: `a number of ${unit}, ${describeRange(range)}`,
  }).check(Schema.isFinite(), Schema.isBetween(range));
}

/** Ratio from 0 to 1. */
export const ratioField = Schema.Number.annotate({
  description: 'a ratio, from 0 to 1',
}).check(Schema.isFinite(), Schema.isBetween({minimum: 0, maximum: 1}));

/** One of a fixed set of strings. */
export function enumField<const T extends readonly string[]>(
  words: T,
): Schema.Codec<T[number]> {
  const quoted = words.map(word => JSON.stringify(word)).join(', ');
  return Schema.Literals(words).annotate({description: `one of ${quoted}`});
}

/**
 * Array with a limited number of items; `unit` is a plural noun for the
 * description.
 */
export function listField<T, E>(
  item: Schema.Codec<T, E>,
  range: Range,
  unit: string,
): Schema.Codec<readonly T[], readonly E[]> {
  return Schema.Array(item)
    .annotate({
      description: `a list of ${describeCount(range)} ${unit}`,
    })
    .check(Schema.isBetweenLength(range.minimum, range.maximum));
}

function describeRange(range: Range): string {
  return `from ${String(range.minimum)} to ${String(range.maximum)}`;
}

function describeCount(range: Range): string {
  return `${String(range.minimum)} to ${String(range.maximum)}`;
}
