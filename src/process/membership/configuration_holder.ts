/**
 * Holds the newest configuration that a node has received; an older one never
 * replaces it.
 */
import type {RouteTable} from '../../version/route_table.js';

/** Result of an update; only a newer version is accepted. */
export type ConfigurationUpdateResult = 'accepted' | 'not-newer';

/** Holds the active configuration. */
export interface ConfigurationHolder {
  /** `undefined` until the first configuration was accepted. */
  current(): RouteTable | undefined;
  update(table: RouteTable): ConfigurationUpdateResult;
}

/** Creates a holder without a configuration. */
export function createConfigurationHolder(): ConfigurationHolder {
  let current: RouteTable | undefined;
  return {
    current: () => current,
    update: table => {
      // A delayed read may return an older version after a newer one; requests
      // would then follow routes that were already removed.
      if (current !== undefined && table.version <= current.version) {
        return 'not-newer';
      }
      current = table;
      return 'accepted';
    },
  };
}
