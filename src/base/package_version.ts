/**
 * Version of the installed package.
 */
import {createRequire} from 'node:module';

const MANIFEST_PATH = '../../../package.json';

/** Reads the version from the package manifest, for `--version`. */
export function readPackageVersion(): string {
  const require = createRequire(import.meta.url);
  const manifest = require(MANIFEST_PATH) as {readonly version: string};
  return manifest.version;
}
