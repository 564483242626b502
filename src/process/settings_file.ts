/**
 * Reads the settings file given on the command line.
 */
import * as fs from 'node:fs';

import {describeError} from '../base/errors.js';
import type {SettingsParseResult} from './settings_schema.js';
import {parseSettings} from './settings_schema.js';

/** Reads and checks a settings file; a file that cannot be read is a problem. */
export function readSettingsFile(path: string): SettingsParseResult {
  let bytes: Uint8Array;
  try {
    bytes = fs.readFileSync(path);
  } catch (error) {
    return {
      kind: 'invalid',
      problems: [
        {
          field: 'settings',
          value: JSON.stringify(path),
          allowed: `a readable file; ${describeError(error)}`,
        },
      ],
    };
  }
  return parseSettings(bytes);
}
