/**
 * Finds the process that holds the far end of a loopback connection, so that a
 * relay can tell availability zones apart although all share one address.
 */
import {existsSync, readFileSync, readdirSync, readlinkSync} from 'node:fs';

const SOCKET_TABLE = '/proc/net/tcp';
const LOCAL_FIELD = 1;
const INODE_FIELD = 9;
const HEX_RADIX = 16;

/** Whether this system tells who owns a socket. */
export function canFindSocketOwners(): boolean {
  return existsSync(SOCKET_TABLE);
}

/** Finds which process owns the socket bound to a local port. */
export type SocketOwnerFinder = (port: number) => Promise<number | undefined>;

/**
 * Creates a finder that searches the given processes. Questions that come up
 * in one turn share one search: with one search for each connection, a burst
 * of connections kept relays busy for seconds.
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

/** Maps local ports to the processes among the given ones that hold them. */
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
    // A closed connection lingers in the table without an owner.
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
    // The process has ended.
  }
  return inodes;
}

const SOCKET_LINK = /^socket:\[(\d+)\]$/;

function readLinkIfOpen(directory: string, descriptor: string): string {
  try {
    return readlinkSync(`${directory}/${descriptor}`);
  } catch {
    // It was closed in the meantime.
    return '';
  }
}
