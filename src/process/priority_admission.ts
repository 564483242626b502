/**
 * Admission by importance: an adaptive limit, a reserve for important classes
 * and a short queue from which the least important calls are shed first.
 */
import * as Effect from 'effect/Effect';
import type {Disposable} from '../base/lifecycle.js';
import {createTimeoutTimer} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {
  AdmissionConfig,
  AdmissionRefusal,
  AdmissionRefusalReason,
  AdmissionRequest,
  HostLoad,
  Permit,
  PermitResult,
} from './admission_controller.js';
import {AdmissionController} from './admission_controller.js';
import type {QueuedCall, ServiceOrder} from './class_queue.js';
import {createClassQueue} from './class_queue.js';
import {classLimitCount} from './class_reserve.js';
import type {ConcurrencyLimitFactory} from './concurrency_limit.js';
import {createAdaptiveLimit} from './concurrency_limit.js';
import {createDeferredEffects} from './deferred_effects.js';
import {createLatencyEstimate} from './latency_estimate.js';
import type {Metrics} from './metrics.js';
import {createRetryAfter} from './retry_after.js';
import {createShedLevel} from './shed_level.js';

/** What the controller needs. */
export interface AdmissionOptions {
  readonly config: AdmissionConfig;
  readonly time: TimeSource;
  readonly metrics: Metrics;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** The adaptive limit when absent. */
  readonly createLimit?: ConcurrencyLimitFactory | undefined;
}

type AdmissionOutcome = Effect.Effect<Permit, AdmissionRefusal>;

/** A call between its arrival and its permit or refusal. */
interface WaitingCall extends QueuedCall {
  readonly resume: (outcome: AdmissionOutcome) => void;
  /** Set once a permit is the call's, until the caller has received it. */
  undelivered: Permit | undefined;
  timer: Disposable | undefined;
}

/** Creates a controller that admits up to the published slots. */
export function createAdmissionController(
  options: AdmissionOptions,
): AdmissionController {
  const {time, metrics, random} = options;
  let config = options.config;
  let inFlightCount = 0;
  let isDraining = false;
  // Telling a caller its outcome runs its code at once, which may ask for
  // admission again: in the middle of a change it would find, say, a place in
  // the queue that is already promised, and overfill it.
  const {change, defer} = createDeferredEffects();
  const queue = createClassQueue<WaitingCall>();
  const latency = createLatencyEstimate(time);
  const createLimit = options.createLimit ?? createAdaptiveLimit;
  const limit = createLimit({slotsCount: config.slotsCount, time});
  const shedLevel = createShedLevel(
    time,
    config.reservedRatios.length,
    config.queueWaitMillis,
  );
  const retryAfter = createRetryAfter({
    minimumMillis: config.retryAfterMinimumMillis,
    maximumMillis: config.retryAfterMaximumMillis,
    time,
    random,
  });

  function hasFreeSlot(classIndex: number): boolean {
    const {reservedRatios} = config;
    return (
      inFlightCount <
      classLimitCount(reservedRatios, classIndex, limit.limitCount())
    );
  }

  function serviceOrder(): ServiceOrder {
    return shedLevel.isStanding() ? 'newest-first' : 'oldest-first';
  }

  function createPermit(): Permit {
    inFlightCount += 1;
    let isReleased = false;
    return {
      release: result => {
        if (isReleased) return;
        isReleased = true;
        limit.record({...result, inFlightCount});
        if (result.latencyMillis !== undefined) {
          latency.record(result.latencyMillis);
        }
        inFlightCount -= 1;
        change(update);
      },
    };
  }

  function tagsOf(classIndex: number): {readonly class: string} {
    return {class: String(classIndex)};
  }

  function admitNow(call: WaitingCall): void {
    call.timer?.dispose();
    retryAfter.recordAdmitted();
    const tags = tagsOf(call.classIndex);
    metrics.increment('admission.admitted', tags);
    metrics.timing(
      'admission.queue_delay',
      time.monotonicMillis() - call.enqueuedMillis,
      tags,
    );
    const permit = createPermit();
    call.undelivered = permit;
    defer(() => {
      call.undelivered = undefined;
      call.resume(Effect.succeed(permit));
    });
  }

  function refuse(call: WaitingCall, reason: AdmissionRefusalReason): void {
    call.timer?.dispose();
    metrics.increment('admission.refused', {
      ...tagsOf(call.classIndex),
      reason,
    });
    const refusal: AdmissionRefusal = {
      _tag: 'AdmissionRefusal',
      reason,
      retryAfterMillis: retryAfter.recordRefused(),
    };
    defer(() => {
      call.resume(Effect.fail(refusal));
    });
  }

  /**
   * Takes everything less important than the given class out of the queue.
   * Otherwise a call could be refused for want of a slot and a less important
   * one, queued with more time left, get that slot a moment later.
   */
  function shedBelow(classIndex: number): readonly WaitingCall[] {
    shedLevel.lowerTo(classIndex + 1);
    return queue.takeFrom(classIndex + 1);
  }

  function refuseAll(
    calls: readonly WaitingCall[],
    reason: AdmissionRefusalReason,
  ): void {
    for (const call of calls) refuse(call, reason);
  }

  function dropExpiredCalls(): void {
    const expired = queue.takeExpired(time.monotonicMillis());
    if (expired.length === 0) return;
    const important = expired.at(-1)?.classIndex ?? 0;
    const refused = [...shedBelow(important), ...expired].sort(
      (a, b) => b.classIndex - a.classIndex,
    );
    // Told in this order, nobody sees a call refused before a lesser one is.
    for (const call of refused) {
      refuse(call, expired.includes(call) ? 'queue-timeout' : 'shed');
    }
  }

  function shedStanding(): void {
    const lowest = queue.lastClassIndex();
    if (lowest === undefined || lowest === 0) return;
    if (!shedLevel.mayLower()) return;
    shedLevel.lowerTo(lowest);
    refuseAll(queue.takeFrom(lowest), 'shed');
  }

  function dispatch(): void {
    for (;;) {
      const classIndex = queue.firstClassIndex();
      if (classIndex === undefined || !hasFreeSlot(classIndex)) return;
      const call = queue.takeFirst(serviceOrder());
      if (call !== undefined) admitNow(call);
    }
  }

  function update(): void {
    shedLevel.observe(queue.oldestEnqueuedMillis());
    dropExpiredCalls();
    dispatch();
    shedStanding();
  }

  function expectedWaitMillis(classIndex: number): number {
    const aheadCount =
      serviceOrder() === 'oldest-first'
        ? queue.sizeUpTo(classIndex)
        : queue.sizeUpTo(classIndex - 1);
    const slotMillis = latency.meanMillis() / limit.limitCount();
    return aheadCount * slotMillis;
  }

  function enqueue(call: WaitingCall): void {
    const nowMillis = time.monotonicMillis();
    const {classIndex} = call;
    if (nowMillis + expectedWaitMillis(classIndex) >= call.expiresMillis) {
      refuseAll([...shedBelow(classIndex), call], 'shed');
      return;
    }
    if (queue.sizeCount() >= config.queueCount && !makeRoom(call)) {
      refuseAll([...shedBelow(classIndex), call], 'queue-full');
      return;
    }
    queue.push(call);
    call.timer = armTimer(call);
  }

  /** Evicts the call that would be served last, if it is less important. */
  function makeRoom(call: WaitingCall): boolean {
    const order = serviceOrder();
    const lowest = queue.lastClassIndex();
    if (lowest === undefined) return false;
    // Newest first, the oldest call of the same class has the least chance.
    const isPeerLast = order === 'newest-first' && lowest === call.classIndex;
    if (lowest <= call.classIndex && !isPeerLast) return false;
    const evicted = queue.takeLast(order);
    if (evicted !== undefined) refuse(evicted, 'queue-full');
    return evicted !== undefined;
  }

  function armTimer(call: WaitingCall): Disposable {
    const leftMillis = call.expiresMillis - time.monotonicMillis();
    return createTimeoutTimer(Math.max(1, Math.ceil(leftMillis)), () => {
      change(update);
      // A timer may fire a fraction early; the call would then wait for ever.
      if (queue.has(call)) call.timer = armTimer(call);
    });
  }

  function toWaitingCall(
    request: AdmissionRequest,
    resume: WaitingCall['resume'],
  ): WaitingCall {
    const nowMillis = time.monotonicMillis();
    const lastIndex = config.reservedRatios.length - 1;
    const classIndex = Math.min(Math.max(0, request.classIndex), lastIndex);
    return {
      classIndex,
      enqueuedMillis: nowMillis,
      expiresMillis: Math.min(
        nowMillis + shedLevel.waitMillis(classIndex),
        request.deadlineMonotonicMillis - latency.lowestMillis(),
      ),
      resume,
      undelivered: undefined,
      timer: undefined,
    };
  }

  function submit(call: WaitingCall): void {
    if (isDraining) {
      refuse(call, 'draining');
      return;
    }
    update();
    if (call.expiresMillis <= time.monotonicMillis()) {
      refuse(call, 'deadline-exceeded');
      return;
    }
    const isFirst = queue.sizeUpTo(call.classIndex) === 0;
    if (isFirst && hasFreeSlot(call.classIndex)) {
      admitNow(call);
    } else {
      enqueue(call);
    }
  }

  /** Withdraws a call whose caller was interrupted before it was told. */
  function cancel(call: WaitingCall): void {
    call.timer?.dispose();
    metrics.increment('admission.cancelled', tagsOf(call.classIndex));
    queue.remove(call);
    call.undelivered?.release(NO_RESULT);
  }

  return new (class extends AdmissionController {
    override admit(
      request: AdmissionRequest,
    ): Effect.Effect<Permit, AdmissionRefusal> {
      return Effect.callback<Permit, AdmissionRefusal>(resume => {
        const call = toWaitingCall(request, resume);
        change(() => {
          submit(call);
        });
        return Effect.sync(() => {
          cancel(call);
        });
      });
    }
    override configure(newConfig: AdmissionConfig): void {
      config = newConfig;
      limit.configure(config.slotsCount);
      shedLevel.configure(config.reservedRatios.length, config.queueWaitMillis);
      retryAfter.configure(
        config.retryAfterMinimumMillis,
        config.retryAfterMaximumMillis,
      );
      change(update);
    }
    override startDraining(): void {
      isDraining = true;
    }
    override dropExpired(): void {
      change(update);
    }
    override load(): HostLoad {
      change(update);
      return {
        inFlightCount,
        queuedCount: queue.sizeCount(),
        limitCount: limit.limitCount(),
        refusedFromClassIndex: isDraining
          ? 0
          : shedLevel.refusedFromClassIndex(),
      };
    }
  })();
}

/** The result of a call whose permit nobody used. */
const NO_RESULT: PermitResult = {latencyMillis: undefined, isOverload: false};
