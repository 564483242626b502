/**
 * Waits until the queue of the local upstream grants a slot to a request.
 */
import type {ExecutionCall} from '../connection/execution.js';
import type {
  SlotRequest,
  UpstreamQueue,
} from '../process/admission/upstream_queue.js';
import type {CancelCause} from '../protocol/cancel_cause.js';

/** Dependencies of the wait. */
export interface SlotWaitOptions {
  readonly queue: UpstreamQueue;
  readonly nowMillis: () => number;
}

/** A request that waits for a slot until its latest useful start. */
export type WaitingCall = Pick<
  ExecutionCall,
  'origin' | 'startByMillis' | 'cancel'
>;

/** How the wait for a slot ended. */
export type WaitResult =
  'started' | 'queue-full' | 'rate-limited' | 'too-late' | CancelCause;

/** Waits for a slot; returns at once if the queue decides at once. */
export function waitForSlot(
  {queue, nowMillis}: SlotWaitOptions,
  {origin, startByMillis, cancel}: WaitingCall,
): Promise<WaitResult> | WaitResult {
  let finish: (result: WaitResult) => void = () => undefined;
  const slotRequest: SlotRequest = {
    importance: origin.importance,
    beganAtMillis: origin.rootBeganAtMillis,
    startByMillis,
    start: () => {
      finish('started');
    },
    expire: () => {
      finish('too-late');
    },
  };
  const decision = queue.offer(slotRequest);
  if (decision === 'started' || decision === 'rate-limited') return decision;
  if (decision === 'refused') return 'queue-full';
  return new Promise(resolve => {
    const cancelled = cancel.onCancel(cause => {
      if (queue.withdraw(slotRequest)) finish(cause);
    });
    const timer = setTimeout(
      () => {
        if (queue.withdraw(slotRequest)) finish('too-late');
      },
      Math.max(0, startByMillis - nowMillis()),
    );
    finish = result => {
      clearTimeout(timer);
      cancelled.dispose();
      resolve(result);
    };
  });
}
