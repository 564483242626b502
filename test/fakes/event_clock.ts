/**
 * A clock for replays: time passes only from one event to the next.
 */

/** A clock with events. */
export interface EventClock {
  nowMillis(): number;
  /** Calls the listener after a delay; the returned function calls it off. */
  schedule(delayMillis: number, onTime: () => void): () => void;
  /** Runs all events up to a time. */
  runUntil(untilMillis: number): void;
}

interface TimedEvent {
  readonly atMillis: number;
  readonly sequence: number;
  onTime: (() => void) | undefined;
}

/** Creates a clock at zero. */
export function createEventClock(): EventClock {
  const heap: TimedEvent[] = [];
  let now = 0;
  let sequence = 0;
  return {
    nowMillis: () => now,
    schedule: (delayMillis, onTime) => {
      sequence += 1;
      const atMillis = now + Math.max(0, delayMillis);
      const event: TimedEvent = {atMillis, sequence, onTime};
      push(heap, event);
      return () => {
        event.onTime = undefined;
      };
    },
    runUntil: untilMillis => {
      for (;;) {
        const next = heap[0];
        if (next === undefined || next.atMillis > untilMillis) break;
        pop(heap);
        now = next.atMillis;
        next.onTime?.();
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
