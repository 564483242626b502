/**
 * Formats an endpoint for use as a key and in messages.
 */
import type {Endpoint} from './node_settings.js';

/** Returns `address:port`. */
export function formatEndpoint({address, port}: Endpoint): string {
  return `${address}:${String(port)}`;
}
