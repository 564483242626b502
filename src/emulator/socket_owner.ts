/**
 * Finds the process that owns the remote end of a loopback connection, so that
 * a relay can distinguish availability zones that share one address.
 */
import {existsSync, readFileSync, readdirSync, readlinkSync} from 'node:fs';

const SOCKET_TABLE = '/proc/net/tcp';
const LOCAL_FIELD = 1;
const INODE_FIELD = 9;
const HEX_RADIX = 16;

/** Returns whether this system lists socket owners in `/proc`. */
export function canFindSocketOwners(): boolean {
  return existsSync(SOCKET_TABLE);
}

/** Resolves to the id of the process that owns the socket of a local port. */
export type SocketOwnerFinder = (port: number) => Promise<number | undefined>;

/**
 * Creates a finder that searches the given processes. Requests made in one turn
 * of the event loop share one search: with one search for each connection, a
 * burst of connections kept the relays busy for seconds.
 */
export function createSocketOwnerFinder(
  listPids: () => readonly number[],
): SocketOwnerFinder {
  let pendingSearch: Promise<ReadonlyMap<number, number>> | undefined;
  return async port => {
    pendingSearch ??= new Promise(resolve => {
      setImmediate(() => {
        pendingSearch = undefined;
        resolve(findOwners(listPids()));
      });
    });
    return (await pendingSearch).get(port);
  };
}

/** Maps local ports to the ids of the given processes that own them. */
function findOwners(pids: readonly number[]): ReadonlyMap<number, number> {
  const ports = readPortsByInode();
  const owners = new Map<number, number>();
  for (const pid of pids) {
    for (const inode of readSocketInodes(pid)) {
      const port = ports.get(inode);
      if (port !== undefined) owners.set(port, pid);
    }
  }
  return owners;
}

function readPortsByInode(): ReadonlyMap<string, number> {
  const ports = new Map<string, number>();
  const table = canFindSocketOwners() ? readFileSync(SOCKET_TABLE, 'utf8') : '';
  for (const line of table.split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/);
    const portText = fields[LOCAL_FIELD]?.split(':')[1] ?? '';
    const inode = fields[INODE_FIELD] ?? '0';
    // A closed connection stays in the table for a while with inode 0.
    if (inode !== '0') ports.set(inode, Number.parseInt(portText, HEX_RADIX));
  }
  return ports;
}

function readSocketInodes(pid: number): readonly string[] {
  const directory = `/proc/${String(pid)}/fd`;
  const inodes: string[] = [];
  try {
    for (const descriptor of readdirSync(directory)) {
      const match = SOCKET_LINK.exec(readLinkIfOpen(directory, descriptor));
      if (match?.[1] !== undefined) inodes.push(match[1]);
    }
  } catch {
    // The process has exited.
  }
  return inodes;
}

const SOCKET_LINK = /^socket:\[(\d+)\]$/;

function readLinkIfOpen(directory: string, descriptor: string): string {
  try {
    return readlinkSync(`${directory}/${descriptor}`);
  } catch {
    // The descriptor has already been closed.
    return '';
  }
}
