/**
 * Queue of calls that wait for a permit, ordered by class of importance.
 */

/** What the queue needs to know of a waiting call. */
export interface QueuedCall {
  /** Position of the class in the policy; 0 is most important. */
  readonly classIndex: number;
  readonly enqueuedMillis: number;
  /** Monotonic time from which on it is useless to start the call. */
  readonly expiresMillis: number;
}

/** Which call of one class is served first. */
export type ServiceOrder = 'oldest-first' | 'newest-first';

/** Waiting calls by class; the owner bounds their number. */
export abstract class ClassQueue<T extends QueuedCall> {
  abstract sizeCount(): number;
  /** Calls whose class is as important as the given one or more so. */
  abstract sizeUpTo(classIndex: number): number;
  /** Most important class that waits. */
  abstract firstClassIndex(): number | undefined;
  /** Least important class that waits. */
  abstract lastClassIndex(): number | undefined;
  /** Time at which the call that waits longest was queued. */
  abstract oldestEnqueuedMillis(): number | undefined;
  abstract has(call: T): boolean;
  abstract push(call: T): void;
  /** Removes the call to be served next. */
  abstract takeFirst(order: ServiceOrder): T | undefined;
  /** Removes the call that would be served last. */
  abstract takeLast(order: ServiceOrder): T | undefined;
  /** Removes all calls from the given class on, least important first. */
  abstract takeFrom(classIndex: number): readonly T[];
  /** Removes all calls that have expired, least important first. */
  abstract takeExpired(nowMillis: number): readonly T[];
  /** Removes one call; false if it is no longer queued. */
  abstract remove(call: T): boolean;
}

/** Creates an empty queue. */
export function createClassQueue<T extends QueuedCall>(): ClassQueue<T> {
  // One list for each class, oldest call first.
  const lists: T[][] = [];
  let sizeCount = 0;

  function listOf(classIndex: number): T[] {
    while (lists.length <= classIndex) lists.push([]);
    return lists[classIndex] as T[];
  }

  function takeEnd(list: T[] | undefined, isNewest: boolean): T | undefined {
    const call = isNewest ? list?.pop() : list?.shift();
    if (call !== undefined) sizeCount -= 1;
    return call;
  }

  return new (class extends ClassQueue<T> {
    override sizeCount(): number {
      return sizeCount;
    }
    override sizeUpTo(classIndex: number): number {
      return lists
        .slice(0, classIndex + 1)
        .reduce((sum, list) => sum + list.length, 0);
    }
    override firstClassIndex(): number | undefined {
      const index = lists.findIndex(list => list.length > 0);
      return index < 0 ? undefined : index;
    }
    override lastClassIndex(): number | undefined {
      const index = lists.findLastIndex(list => list.length > 0);
      return index < 0 ? undefined : index;
    }
    override oldestEnqueuedMillis(): number | undefined {
      let oldestMillis: number | undefined;
      for (const [head] of lists) {
        if (head === undefined) continue;
        oldestMillis = Math.min(oldestMillis ?? Infinity, head.enqueuedMillis);
      }
      return oldestMillis;
    }
    override has(call: T): boolean {
      return listOf(call.classIndex).includes(call);
    }
    override push(call: T): void {
      listOf(call.classIndex).push(call);
      sizeCount += 1;
    }
    override takeFirst(order: ServiceOrder): T | undefined {
      const list = lists.find(candidate => candidate.length > 0);
      return takeEnd(list, order === 'newest-first');
    }
    override takeLast(order: ServiceOrder): T | undefined {
      const list = lists.findLast(candidate => candidate.length > 0);
      return takeEnd(list, order === 'oldest-first');
    }
    override takeFrom(classIndex: number): readonly T[] {
      const taken = lists
        .slice(classIndex)
        .toReversed()
        .flatMap(list => list.splice(0));
      sizeCount -= taken.length;
      return taken;
    }
    override takeExpired(nowMillis: number): readonly T[] {
      const taken: T[] = [];
      for (let index = lists.length - 1; index >= 0; index -= 1) {
        const list = listOf(index);
        const expired = list.filter(call => call.expiresMillis <= nowMillis);
        if (expired.length === 0) continue;
        lists[index] = list.filter(call => call.expiresMillis > nowMillis);
        taken.push(...expired);
      }
      sizeCount -= taken.length;
      return taken;
    }
    override remove(call: T): boolean {
      const list = listOf(call.classIndex);
      const index = list.indexOf(call);
      if (index < 0) return false;
      list.splice(index, 1);
      sizeCount -= 1;
      return true;
    }
  })();
}
