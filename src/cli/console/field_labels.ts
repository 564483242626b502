/**
 * Labels, units and effects of fields as shown to operators.
 */
import {FIELD_GUIDES} from './field_guide.js';

const UNIT_SUFFIX = /(?<=[a-z])(?:Millis|Bytes|Count|Ratio|PerSecond)$/;
const SPECIAL_LABELS: Readonly<Record<string, string>> = {
  className: 'Class',
  apiKeys: 'API keys',
};

/** Converts `queueWaitMillis` to `Queue wait`; the unit is shown separately. */
export function labelOf(fieldName: string): string {
  const special = SPECIAL_LABELS[fieldName];
  if (special !== undefined) return special;
  const words = fieldName
    .replace(UNIT_SUFFIX, '')
    .replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
  return words.charAt(0).toUpperCase() + words.slice(1);
}

/** Converts `availabilityZones` to `availability zone`. */
export function singularOf(listName: string): string {
  if (listName === 'classes') return 'class';
  return labelOf(listName).toLowerCase().replace(/s$/, '');
}

/** Returns the unit of the field at a schema path; empty if it has none. */
export function unitOf(schemaPath: string): string {
  return FIELD_GUIDES[schemaPath]?.unit ?? '';
}

/** Returns the effect of the field at a schema path. */
export function effectOf(schemaPath: string): string {
  return FIELD_GUIDES[schemaPath]?.effect ?? '';
}
