/**
 * Finds the process that holds the far end of a loopback connection, so that a
 * relay can tell availability zones apart although all share one address.
 */
import {readFile, readdir, readlink} from 'node:fs/promises';

const PORT_HEX_DIGITS = 4;
const LOCAL_FIELD = 1;
const INODE_FIELD = 9;

/** Whether this system tells who owns a socket. */
export async function canFindOwners(): Promise<boolean> {
  return (await readQuietly('/proc/net/tcp')) !== '';
}

/** Finds which of the processes owns the socket bound to a local port. */
export async function findSocketOwner(
  port: number,
  pids: readonly number[],
): Promise<number | undefined> {
  const inode = await findInode(port);
  if (inode === undefined) return undefined;
  for (const pid of pids) {
    if (await holdsSocket(pid, inode)) return pid;
  }
  return undefined;
}

async function findInode(port: number): Promise<string | undefined> {
  const suffix = `:${port.toString(16).toUpperCase().padStart(PORT_HEX_DIGITS, '0')}`;
  const table = await readQuietly('/proc/net/tcp');
  for (const line of table.split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/);
    const isOwn = fields[LOCAL_FIELD]?.endsWith(suffix) === true;
    // A closed connection lingers in the table without an owner.
    if (isOwn && fields[INODE_FIELD] !== '0') return fields[INODE_FIELD];
  }
  return undefined;
}

async function holdsSocket(pid: number, inode: string): Promise<boolean> {
  const directory = `/proc/${String(pid)}/fd`;
  try {
    for (const descriptor of await readdir(directory)) {
      const target = await readlink(`${directory}/${descriptor}`).catch(
        () => '',
      );
      if (target === `socket:[${inode}]`) return true;
    }
  } catch {
    // The process has ended.
  }
  return false;
}

async function readQuietly(file: string): Promise<string> {
  return readFile(file, 'utf8').catch(() => '');
}
