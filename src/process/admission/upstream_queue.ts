/**
 * Decides which requests the upstream of this host works on, and when.
 *
 * Load pattern: more requests arrive than the upstream has slots. An upstream
 * that is handed more than it can hold may stop answering for good, so the
 * queue is kept here: the more important rank goes first, within a rank the
 * more important buckets and the older ones, and what cannot start in time is
 * told at once.
 */
import {rankOf} from './importance.js';

/** A request that wants a slot. */
export interface SlotRequest {
  readonly importance: number;
  /** When the client's attempt began; older goes first among near equals. */
  readonly beganAtMillis: number;
  /** Latest useful start. */
  readonly startByMillis: number;
  /** Called when the slot is granted. */
  start(): void;
  /** Called when the latest useful start has passed or a place was taken. */
  expire(): void;
}

/** What became of an offer. */
export type OfferResult = 'started' | 'queued' | 'refused';

/** What the queue holds. */
export interface QueueLoad {
  readonly inFlightCount: number;
  readonly queuedCount: number;
  readonly limitCount: number;
  /** Mean time for which a request holds a slot. */
  readonly averageMillis: number;
}

/** Queue in front of one upstream. */
export interface UpstreamQueue {
  offer(request: SlotRequest): OfferResult;
  /** Gives back a slot that was held for a time. */
  release(heldMillis: number): void;
  /** Gives back a slot whose time says nothing about the upstream. */
  releaseWithoutSample(): void;
  /** Takes a waiting request out; false if it is not waiting. */
  withdraw(request: SlotRequest): boolean;
  /** Ends the wait of every request. */
  expireAll(): void;
  setSlots(slotsCount: number): void;
  load(): QueueLoad;
}

/**
 * Share of the slots in use at most: some upstreams slow down by a third once
 * more than 95% of their slots are taken.
 */
const SLOTS_RATIO = 0.95;

/** Small upstreams keep all their slots; a twentieth is less than one. */
const SMALL_SLOTS_COUNT = 8;

/** Slots assumed while the upstream's entry is not known yet. */
const UNKNOWN_SLOTS_COUNT = 16;

/** Waiting requests for each slot; four times its work is seconds of queue. */
const QUEUE_RATIO = 4;

/** Weight of one new sample in the mean: about the last fifty count. */
const AVERAGE_WEIGHT = 0.04;

/** Mean assumed before the first answer. */
const INITIAL_AVERAGE_MILLIS = 50;

/**
 * Age that makes up for one bucket of importance. Among equals the oldest first
 * lets every request get some of its calls and none of them all; by bucket the
 * same requests go first at every call, and are carried to their end. A rank spans
 * the three seconds that a request has at most, and neighbours still go by age.
 */
const BUCKET_MILLIS = 50;

/** Creates an empty queue. */
export function createUpstreamQueue(nowMillis: () => number): UpstreamQueue {
  const waiting: SlotRequest[] = [];
  let limitCount = limitOf(UNKNOWN_SLOTS_COUNT);
  let inFlightCount = 0;
  let averageMillis = INITIAL_AVERAGE_MILLIS;

  const startNext = (): void => {
    while (inFlightCount < limitCount) {
      const next = waiting.shift();
      if (next === undefined) return;
      if (next.startByMillis < nowMillis()) {
        next.expire();
        continue;
      }
      inFlightCount += 1;
      next.start();
    }
  };

  const waitFor = (position: number): number =>
    ((position + 1) * averageMillis) / limitCount;

  const enqueue = (request: SlotRequest): OfferResult => {
    const position = positionOf(waiting, request);
    if (nowMillis() + waitFor(position) > request.startByMillis) {
      return 'refused';
    }
    waiting.splice(position, 0, request);
    if (waiting.length <= limitCount * QUEUE_RATIO) return 'queued';
    const last = waiting.pop();
    if (last === request) return 'refused';
    last?.expire();
    return 'queued';
  };

  return {
    offer: request => {
      if (inFlightCount < limitCount && waiting.length === 0) {
        inFlightCount += 1;
        return 'started';
      }
      return enqueue(request);
    },
    release: heldMillis => {
      averageMillis += (heldMillis - averageMillis) * AVERAGE_WEIGHT;
      inFlightCount -= 1;
      startNext();
    },
    releaseWithoutSample: () => {
      inFlightCount -= 1;
      startNext();
    },
    withdraw: request => {
      const index = waiting.indexOf(request);
      if (index < 0) return false;
      waiting.splice(index, 1);
      return true;
    },
    expireAll: () => {
      for (const request of waiting.splice(0)) request.expire();
    },
    setSlots: slotsCount => {
      limitCount = limitOf(slotsCount);
      startNext();
    },
    load: () => ({
      inFlightCount,
      queuedCount: waiting.length,
      limitCount,
      averageMillis,
    }),
  };
}

function limitOf(slotsCount: number): number {
  if (slotsCount <= SMALL_SLOTS_COUNT) return Math.max(1, slotsCount);
  return Math.floor(slotsCount * SLOTS_RATIO);
}

/** Index of the first waiting request that goes after `request`. */
function positionOf(
  waiting: readonly SlotRequest[],
  request: SlotRequest,
): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = waiting[middle];
    if (other !== undefined && goesBefore(request, other)) high = middle;
    else low = middle + 1;
  }
  return low;
}

function goesBefore(a: SlotRequest, b: SlotRequest): boolean {
  const rankA = rankOf(a.importance);
  const rankB = rankOf(b.importance);
  if (rankA !== rankB) return rankA < rankB;
  const olderMillis = b.beganAtMillis - a.beganAtMillis;
  return (b.importance - a.importance) * BUCKET_MILLIS + olderMillis > 0;
}
