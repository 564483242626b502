/**
 * Finds unused TCP ports.
 */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

/**
 * Returns distinct ports that are free on an address. They are not reserved: another
 * process may bind one before the caller does.
 */
export async function freePorts(
  address: string,
  count: number,
): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () => createServer());
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, address, resolve));
  }
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  for (const server of servers) {
    await new Promise(resolve => server.close(resolve));
  }
  return ports;
}
