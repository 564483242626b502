/**
 * Minimal valid settings files, with ports chosen by the operating system.
 */

/** Returns the JSON value of a settings file with only the required fields. */
export function minimalSettings() {
  return {
    hostName: 'orderdesk-1',
    service: 'orderdesk',
    availabilityZone: 'zone-a',
    region: 'region-1',
    listen: {
      caller: {address: '127.0.0.1', port: 0},
      local: {address: '127.0.0.1', port: 0},
      peer: {address: '127.0.0.1', port: 0},
      admin: {address: '127.0.0.1', port: 0},
    },
    upstream: {address: '127.0.0.1', port: 9},
    platformUrl: 'http://127.0.0.1:9',
  };
}

/** Returns the content of a minimal settings file with some top-level fields replaced. */
export function settingsBytes(
  replaced: Readonly<Record<string, unknown>> = {},
): Uint8Array {
  return Buffer.from(JSON.stringify({...minimalSettings(), ...replaced}));
}
