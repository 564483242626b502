/**
 * The newest configuration a node has seen; an older one never replaces it.
 */
import type {RouteTable} from '../../version/route_table.js';

/** What became of an offered configuration. */
export type ConfigurationUpdateResult = 'accepted' | 'not-newer';

/** Holds the configuration in force. */
export interface ConfigurationHolder {
  /** `undefined` until the first one was accepted. */
  current(): RouteTable | undefined;
  update(table: RouteTable): ConfigurationUpdateResult;
}

/** Creates a holder without a configuration. */
export function createConfigurationHolder(): ConfigurationHolder {
  let current: RouteTable | undefined;
  return {
    current: () => current,
    update: table => {
      // A read that was answered late may bring an older version after a newer
      // one; requests would then follow routes that were already withdrawn.
      if (current !== undefined && table.version <= current.version) {
        return 'not-newer';
      }
      current = table;
      return 'accepted';
    },
  };
}
