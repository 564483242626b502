/**
 * The newest configuration a node has seen; an older one never replaces it.
 */
import type {RouteConfiguration} from '../version/route_configuration.js';
import type {RouteTable} from '../version/route_table.js';
import {createRouteTable} from '../version/route_table.js';

/** What became of an offered configuration. */
export type ConfigurationVerdict = 'accepted' | 'not-newer';

/** Holds the configuration in force. */
export interface ConfigurationHolder {
  /** `undefined` until the first one was accepted. */
  current(): RouteTable | undefined;
  offer(configuration: RouteConfiguration): ConfigurationVerdict;
}

/** Creates a holder without a configuration. */
export function createConfigurationHolder(): ConfigurationHolder {
  let table: RouteTable | undefined;
  return {
    current: () => table,
    offer: configuration => {
      // A read that was answered late may bring an older version after a newer
      // one; requests would then follow routes that were already withdrawn.
      if (
        table !== undefined &&
        configuration.version <= table.configuration.version
      ) {
        return 'not-newer';
      }
      table = createRouteTable(configuration);
      return 'accepted';
    },
  };
}
