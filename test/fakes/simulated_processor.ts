/**
 * Processor of a simulated node: handles messages one after the other.
 */
export interface ProcessorClock {
  nowMillis(): number;
  schedule(delayMillis: number, callback: () => void): void;
}

export interface SimulatedProcessor {
  /** Calls the handler when the processor has handled this message. */
  handle(handler: () => void): void;
}

/** Creates an idle processor; without a cost, messages are handled at once. */
export function createSimulatedProcessor(
  {nowMillis, schedule}: ProcessorClock,
  messageMillis: number,
): SimulatedProcessor {
  let freeMillis = 0;
  return {
    handle: handler => {
      if (messageMillis === 0) {
        handler();
        return;
      }
      freeMillis = Math.max(freeMillis, nowMillis()) + messageMillis;
      schedule(freeMillis - nowMillis(), handler);
    },
  };
}
