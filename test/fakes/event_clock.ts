/**
 * Clock of a discrete event simulation: the time jumps from one event to the next.
 */

export interface EventClock {
  nowMillis(): number;
  /** Calls the callback after a delay; the returned function cancels it. */
  schedule(delayMillis: number, callback: () => void): () => void;
  /** Runs all events up to a time. */
  runUntil(untilMillis: number): void;
}

interface TimedEvent {
  readonly atMillis: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** Creates a clock at time 0. */
export function createEventClock(): EventClock {
  const heap: TimedEvent[] = [];
  let now = 0;
  let sequence = 0;
  return {
    nowMillis: () => now,
    schedule: (delayMillis, callback) => {
      sequence += 1;
      const atMillis = now + Math.max(0, delayMillis);
      const event: TimedEvent = {atMillis, sequence, callback};
      push(heap, event);
      return () => {
        event.callback = undefined;
      };
    },
    runUntil: untilMillis => {
      for (;;) {
        const next = heap[0];
        if (next === undefined || next.atMillis > untilMillis) break;
        pop(heap);
        now = next.atMillis;
        next.callback?.();
      }
      now = untilMillis;
    },
  };
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  if (a.atMillis !== b.atMillis) return a.atMillis < b.atMillis;
  return a.sequence < b.sequence;
}

function push(heap: TimedEvent[], event: TimedEvent): void {
  let index = heap.length;
  heap.push(event);
  while (index > 0) {
    const parentIndex = (index - 1) >>> 1;
    const parent = heap[parentIndex]!;
    if (!isBefore(event, parent)) break;
    heap[index] = parent;
    index = parentIndex;
  }
  heap[index] = event;
}

function pop(heap: TimedEvent[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let index = 0;
  for (;;) {
    let childIndex = 2 * index + 1;
    if (childIndex >= heap.length) break;
    const rightIndex = childIndex + 1;
    if (
      rightIndex < heap.length &&
      isBefore(heap[rightIndex]!, heap[childIndex]!)
    ) {
      childIndex = rightIndex;
    }
    if (!isBefore(heap[childIndex]!, last)) break;
    heap[index] = heap[childIndex]!;
    index = childIndex;
  }
  heap[index] = last;
}
