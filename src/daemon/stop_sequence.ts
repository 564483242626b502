/**
 * Planned stop of a node, in which every request that was read gets a response.
 */
import type {StopPlan} from '../process/stop/stop_plan.js';

/** The node to stop. */
export interface StoppableNode {
  /** Requests that were read and have no response yet. */
  busyCount(): number;
  /** Requests at the local upstream or waiting for it. */
  executingCount(): number;
  /** Cancels requests without a response; each gets its response at once. */
  cancelRequests(): void;
  /** Stops listening; resolves when the last connection is closed. */
  closeListeners(): Promise<void>;
  /**
   * Until then clients may be reading long responses that were handed to the
   * operating system.
   */
  deliveringUntilMillis(): number;
}

/** Dependencies of a stop. */
export interface StopOptions {
  readonly node: StoppableNode;
  readonly plan: StopPlan;
  readonly nowMillis: () => number;
  /** Called when a step begins. */
  readonly onStep: (step: StopStep) => void;
}

/** The steps of a stop, in order. */
export type StopStep = 'taking' | 'finishing' | 'closing' | 'ended';

const POLL_MILLIS = 25;

/** Time for requests on connections that were opened just before the listeners close. */
const CLOSE_TIMEOUT_MILLIS = 500;

/**
 * Resolves when the process may exit. Listeners stay open until no request is in progress:
 * the local upstream opens new connections for its calls, and a response with
 * `retry-after` gives a client more information than a refused connection.
 */
export async function runStopSequence(options: StopOptions): Promise<void> {
  const {node, plan, nowMillis, onStep} = options;
  const isIdle = (): boolean =>
    node.busyCount() === 0 && node.executingCount() === 0;
  onStep('taking');
  await pollUntil(options, plan.acceptingUntilMillis, () => false);
  onStep('finishing');
  await pollUntil(options, plan.finishingUntilMillis, isIdle);
  // The exit of the process ends requests in progress. Unlike a closed connection, a
  // final response shows whether the request was executed and may be sent again.
  node.cancelRequests();
  onStep('closing');
  let isClosed = false;
  void node.closeListeners().then(() => (isClosed = true));
  // A request that arrives at the last moment still gets a response; one that was read
  // and then aborted by the exit of the process would be lost.
  const closeMillis = nowMillis() + CLOSE_TIMEOUT_MILLIS;
  await pollUntil(options, plan.endMillis, () => {
    if (isClosed) return true;
    // Clients that only keep a connection open are not waited for, but the exit would
    // cut a response whose last bytes still wait for a slow reader.
    return nowMillis() >= Math.max(closeMillis, node.deliveringUntilMillis());
  });
  onStep('ended');
}

async function pollUntil(
  {nowMillis}: StopOptions,
  latestMillis: number,
  condition: () => boolean,
): Promise<void> {
  while (nowMillis() < latestMillis && !condition()) await sleep(POLL_MILLIS);
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, millis)));
}
