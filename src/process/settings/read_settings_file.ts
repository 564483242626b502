/**
 * Reads the settings file given on the command line.
 */
import * as fs from 'node:fs';

import {describeError} from '../../base/errors.js';
import {ROOT_PATH} from '../../version/problem.js';
import type {SettingsParseResult} from './settings_file_schema.js';
import {parseSettings} from './settings_file_schema.js';

/**
 * Reads and validates a settings file; an unreadable file is reported as a
 * problem.
 */
export function readSettingsFile(path: string): SettingsParseResult {
  let bytes: Uint8Array;
  try {
    bytes = fs.readFileSync(path);
  } catch (error) {
    return {
      kind: 'invalid',
      problems: [
        {
          path: ROOT_PATH,
          value: path,
          allowed: `a readable file; ${describeError(error)}`,
        },
      ],
    };
  }
  return parseSettings(bytes);
}
