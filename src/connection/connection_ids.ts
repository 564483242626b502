/**
 * Ids of the connections of a pool, given when they are first asked for.
 */
import type {Socket} from 'node:net';

export interface ConnectionIds {
  idOf(connection: Socket): number;
}

/** Creates ids that start at 1. */
export function createConnectionIds(): ConnectionIds {
  const ids = new WeakMap<Socket, number>();
  let lastId = 0;
  return {
    idOf: connection => {
      const known = ids.get(connection);
      if (known !== undefined) return known;
      lastId += 1;
      ids.set(connection, lastId);
      return lastId;
    },
  };
}
