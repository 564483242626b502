/**
 * Decides which requests the upstream of this host processes, and when.
 *
 * Load pattern: more requests arrive than the upstream has slots. An upstream
 * that receives more than it can hold may stop responding permanently, so the
 * queue is kept here: more important ranks go first, within a rank more
 * important buckets and older requests, and a request that cannot start in time
 * is rejected at once. The minimum share of a lower rank is promoted to the
 * first one before its time is up, or it would expire behind that rank. If the
 * upstream announces a limit, requests start at its rate.
 */
import type {DispatchPacer} from './dispatch_pacer.js';
import {isPromotable, rankOf, shedPositionOf} from './importance.js';

/** A request for a slot. */
export interface SlotRequest {
  readonly importance: number;
  /**
   * Start of the client's attempt; among nearly equal requests, older ones go
   * first.
   */
  readonly beganAtMillis: number;
  /** Latest useful start time. */
  readonly startByMillis: number;
  /** Called when a slot is granted. */
  start(): void;
  /**
   * Called when the latest useful start time has passed or the request was
   * evicted from the queue.
   */
  expire(): void;
}

/** Result of offering a request. */
export type OfferResult =
  | 'started'
  | 'queued'
  /** No slot will be free in time. */
  | 'refused'
  /** The announced limit leaves no place in time. */
  | 'rate-limited';

/** Load of the queue. */
export interface QueueLoad {
  readonly inFlightCount: number;
  readonly queuedCount: number;
  /** Slots that can be in use, which a limit of the rate may reduce below 1. */
  readonly limitCount: number;
  /** Mean time for which a request holds a slot. */
  readonly averageMillis: number;
}

/** Limits the rate at which requests start. */
export interface QueuePacing {
  readonly pacer: DispatchPacer;
  /** Calls back after a delay. */
  readonly schedule: (delayMillis: number, callback: () => void) => void;
}

/** Queue in front of one upstream. */
export interface UpstreamQueue {
  offer(request: SlotRequest): OfferResult;
  /** Releases a slot and records the time for which it was held. */
  release(heldMillis: number): void;
  /**
   * Releases a slot without recording the time, which says nothing about the
   * upstream.
   */
  releaseWithoutSample(): void;
  /** Releases the slot of a request that was not dispatched. */
  releaseUnused(): void;
  /** Removes a waiting request; returns false if it is not waiting. */
  withdraw(request: SlotRequest): boolean;
  /** Expires all waiting requests. */
  expireAll(): void;
  setSlots(slotsCount: number): void;
  load(): QueueLoad;
}

/**
 * Maximum share of the slots in use: some upstreams slow down by a third once
 * more than 95% of their slots are taken.
 */
const SLOTS_RATIO = 0.95;

/** Up to this number, all slots are used: a twentieth is less than one slot. */
const SMALL_SLOTS_COUNT = 8;

/** Slots assumed until the upstream's entry has been received. */
const UNKNOWN_SLOTS_COUNT = 16;

/**
 * Maximum number of waiting requests per slot; a queue of four times the work
 * in the slots takes seconds to drain.
 */
const QUEUE_RATIO = 4;

/** Weight of one sample in the moving average: about the last fifty count. */
const AVERAGE_WEIGHT = 0.04;

/** Mean assumed before the first response. */
const INITIAL_AVERAGE_MILLIS = 50;

/**
 * Age that outweighs one bucket of importance. If the oldest request went
 * first, every request would get some of its calls and none would get all; by
 * bucket, the same requests go first at every call and run to completion. A
 * rank spans the three seconds that a request has at most, and neighbouring
 * buckets are still ordered by age.
 */
const BUCKET_AGE_MILLIS = 50;

/** Part of the time that a request may wait after which it is promoted. */
const PROMOTION_RATIO = 0.15;

/**
 * Slots in use at a limit are rounded, because every load report contains them;
 * 0 would mean that the upstream cannot be reached.
 */
const USED_SLOTS_DIGITS = 3;
const MIN_USED_SLOTS = 0.0001;

const MILLIS_PER_SECOND = 1000;

/** A request in the queue and the importance by which it is ordered there. */
interface WaitingRequest {
  readonly request: SlotRequest;
  readonly importance: number;
}

/** A waiting request that will be promoted. */
interface Promotion {
  readonly waiting: WaitingRequest;
  readonly atMillis: number;
}

/** Creates an empty queue; without pacing, only the slots limit it. */
export function createUpstreamQueue(
  nowMillis: () => number,
  pacing?: QueuePacing,
): UpstreamQueue {
  const pacer = pacing?.pacer;
  const waiting: WaitingRequest[] = [];
  let promotions: readonly Promotion[] = [];
  let limitCount = limitOf(UNKNOWN_SLOTS_COUNT);
  let inFlightCount = 0;
  let averageMillis = INITIAL_AVERAGE_MILLIS;
  let isWakeScheduled = false;

  const hasFreeSlot = (): boolean =>
    inFlightCount < Math.min(limitCount, pacer?.maxInFlightCount() ?? Infinity);

  const tryTakePermit = (): boolean => pacer?.tryTake() ?? true;

  const promote = (entry: WaitingRequest): void => {
    const index = waiting.indexOf(entry);
    if (index < 0) return;
    waiting.splice(index, 1);
    const {request} = entry;
    const importance = shedPositionOf(request.importance);
    insert(waiting, {request, importance});
  };

  const promoteDue = (): void => {
    if (promotions.length === 0) return;
    const now = nowMillis();
    const due = promotions.filter(({atMillis}) => atMillis <= now);
    if (due.length === 0) return;
    promotions = promotions.filter(({atMillis}) => atMillis > now);
    for (const promotion of due) promote(promotion.waiting);
  };

  const startNext = (): void => {
    promoteDue();
    for (;;) {
      const next = waiting[0]?.request;
      if (next === undefined) return;
      const isExpired = next.startByMillis < nowMillis();
      if (!isExpired && !(hasFreeSlot() && tryTakePermit())) {
        scheduleWake();
        return;
      }
      waiting.shift();
      if (isExpired) {
        next.expire();
        continue;
      }
      inFlightCount += 1;
      next.start();
    }
  };

  /** Resumes when the pacer allows the next start, which no release may precede. */
  const scheduleWake = (): void => {
    if (isWakeScheduled || pacing === undefined) return;
    if (inFlightCount >= limitCount) return;
    isWakeScheduled = true;
    const delayMillis = pacing.pacer.nextStartMillis(inFlightCount);
    pacing.schedule(delayMillis, () => {
      isWakeScheduled = false;
      startNext();
    });
  };

  const release = (): void => {
    inFlightCount -= 1;
    startNext();
  };

  const expectedWaitMillis = (position: number): number =>
    ((position + 1) * averageMillis) / limitCount;

  /** Requests that start before this one, if it is promoted in time. */
  const expectedPosition = (entry: WaitingRequest): number => {
    const {request} = entry;
    if (!isPromotable(request.importance)) return positionOf(waiting, entry);
    const importance = shedPositionOf(request.importance);
    return positionOf(waiting, {request, importance});
  };

  const enqueue = (request: SlotRequest): OfferResult => {
    const entry = {request, importance: request.importance};
    const position = expectedPosition(entry);
    const now = nowMillis();
    const leftMillis = request.startByMillis - now;
    if (expectedWaitMillis(position) > leftMillis) return 'refused';
    const permitMillis = pacer?.waitMillis(position + 1) ?? 0;
    if (permitMillis > leftMillis) return 'rate-limited';
    insert(waiting, entry);
    if (isPromotable(request.importance)) {
      const atMillis = now + leftMillis * PROMOTION_RATIO;
      promotions = [...promotions, {waiting: entry, atMillis}];
    }
    scheduleWake();
    if (waiting.length <= limitCount * QUEUE_RATIO) return 'queued';
    const evicted = waiting.pop()?.request;
    if (evicted === request) return 'refused';
    evicted?.expire();
    return 'queued';
  };

  return {
    offer: request => {
      if (waiting.length === 0 && hasFreeSlot() && tryTakePermit()) {
        inFlightCount += 1;
        return 'started';
      }
      return enqueue(request);
    },
    release: heldMillis => {
      averageMillis += (heldMillis - averageMillis) * AVERAGE_WEIGHT;
      release();
    },
    releaseWithoutSample: release,
    releaseUnused: () => {
      pacer?.refund();
      release();
    },
    withdraw: request => {
      const index = waiting.findIndex(entry => entry.request === request);
      if (index < 0) return false;
      waiting.splice(index, 1);
      return true;
    },
    expireAll: () => {
      for (const {request} of waiting.splice(0)) request.expire();
    },
    setSlots: slotsCount => {
      limitCount = limitOf(slotsCount);
      startNext();
    },
    load: () => ({
      inFlightCount,
      queuedCount: waiting.length,
      limitCount: Math.min(
        limitCount,
        usedSlotsAt(pacer?.perSecond, averageMillis),
      ),
      averageMillis,
    }),
  };
}

/** Mean number of slots in use at a rate of requests (Little's law). */
function usedSlotsAt(
  perSecond: number | undefined,
  averageMillis: number,
): number {
  if (perSecond === undefined) return Infinity;
  const slots = (perSecond * averageMillis) / MILLIS_PER_SECOND;
  return Math.max(MIN_USED_SLOTS, Number(slots.toPrecision(USED_SLOTS_DIGITS)));
}

function limitOf(slotsCount: number): number {
  if (slotsCount <= SMALL_SLOTS_COUNT) return Math.max(1, slotsCount);
  return Math.floor(slotsCount * SLOTS_RATIO);
}

function insert(waiting: WaitingRequest[], entry: WaitingRequest): void {
  waiting.splice(positionOf(waiting, entry), 0, entry);
}

/** Index of the first waiting request that goes after `entry`. */
function positionOf(
  waiting: readonly WaitingRequest[],
  entry: WaitingRequest,
): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = waiting[middle];
    if (other !== undefined && goesBefore(entry, other)) high = middle;
    else low = middle + 1;
  }
  return low;
}

function goesBefore(a: WaitingRequest, b: WaitingRequest): boolean {
  const rankA = rankOf(a.importance);
  const rankB = rankOf(b.importance);
  if (rankA !== rankB) return rankA < rankB;
  const olderMillis = b.request.beganAtMillis - a.request.beganAtMillis;
  return (b.importance - a.importance) * BUCKET_AGE_MILLIS + olderMillis > 0;
}
