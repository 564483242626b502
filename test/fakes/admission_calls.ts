/**
 * Calls on an admission controller whose fate a test can read.
 */
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Fiber from 'effect/Fiber';
import type {TimeSource} from '../../src/base/time_source.js';
import type {
  AdmissionController,
  AdmissionRefusal,
  Permit,
} from '../../src/process/admission_controller.js';

/** A call and what became of it; neither permit nor refusal while it waits. */
export interface ObservedCall {
  readonly classIndex: number;
  permit: Permit | undefined;
  refusal: AdmissionRefusal | undefined;
  readonly interrupt: () => void;
}

/** Starts calls; `onSettled` hears of each end in order. */
export function createCallStarter(
  controller: AdmissionController,
  time: TimeSource,
  onSettled: (call: ObservedCall) => void = () => {},
): (classIndex: number, leftMillis?: number) => ObservedCall {
  return (classIndex, leftMillis = 10_000) => {
    const fiber = Effect.runFork(
      controller.admit({
        classIndex,
        deadlineMonotonicMillis: time.monotonicMillis() + leftMillis,
      }),
    );
    const call: ObservedCall = {
      classIndex,
      permit: undefined,
      refusal: undefined,
      interrupt: () => {
        Effect.runFork(Fiber.interrupt(fiber));
      },
    };
    fiber.addObserver(exit => {
      if (Exit.isSuccess(exit)) call.permit = exit.value;
      else call.refusal = refusalOf(exit);
      onSettled(call);
    });
    return call;
  };
}

/** The refusal in a failed exit; undefined when the call was interrupted. */
function refusalOf(
  exit: Exit.Failure<Permit, AdmissionRefusal>,
): AdmissionRefusal | undefined {
  const reason = exit.cause.reasons.find(item => item._tag === 'Fail');
  return reason?._tag === 'Fail' ? reason.error : undefined;
}
