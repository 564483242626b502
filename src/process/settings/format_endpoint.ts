/**
 * One text for an address and port, as a key and in messages.
 */
import type {Endpoint} from './node_settings.js';

/** The text `address:port`. */
export function formatEndpoint({address, port}: Endpoint): string {
  return `${address}:${String(port)}`;
}
