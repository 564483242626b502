/**
 * How a node ends: everything that it has read is answered.
 */
import type {StopPlan} from '../process/stop/stop_plan.js';

/** What is stopped. */
export interface StoppableNode {
  /** Requests that were read and not yet answered. */
  busyCount(): number;
  /** Requests at the own upstream or waiting for it. */
  executingCount(): number;
  /** Gives up what has no answer yet; each request is answered at once. */
  cancelRequests(): void;
  /** Accepts nothing more; resolves when the last connection has ended. */
  closeListeners(): Promise<void>;
}

/** What a stop needs. */
export interface StopOptions {
  readonly node: StoppableNode;
  readonly plan: StopPlan;
  readonly nowMillis: () => number;
  /** A step of the stop begins. */
  readonly onStep: (step: StopStep) => void;
}

/** The steps of a stop, in order. */
export type StopStep = 'taking' | 'finishing' | 'closing' | 'ended';

const LOOK_MILLIS = 25;

/** Time that connections opened just before the end have for their request. */
const CLOSE_MILLIS = 500;

/**
 * Resolves when the process may end. Listeners stay open until nothing is at
 * work: the own upstream makes its calls by new connections, and who is told to
 * come back knows more than who is refused a connection.
 */
export async function runStopSequence(options: StopOptions): Promise<void> {
  const {node, plan, nowMillis, onStep} = options;
  const isIdle = (): boolean =>
    node.busyCount() === 0 && node.executingCount() === 0;
  onStep('taking');
  await until(options, plan.acceptingUntilMillis, () => false);
  onStep('finishing');
  await until(options, plan.finishingUntilMillis, isIdle);
  // The process ends whatever is at work: a final answer tells the client so, and
  // what has not run may be sent again; a closed connection would tell nothing.
  node.cancelRequests();
  onStep('closing');
  const closed = node.closeListeners();
  // A request that came in at the last moment is still answered: what was read
  // and then cut by the end of the process would be lost.
  const endMillis = Math.min(plan.endMillis, nowMillis() + CLOSE_MILLIS);
  await Promise.race([closed, sleep(endMillis - nowMillis())]);
  onStep('ended');
}

async function until(
  {nowMillis}: StopOptions,
  latestMillis: number,
  condition: () => boolean,
): Promise<void> {
  while (nowMillis() < latestMillis && !condition()) await sleep(LOOK_MILLIS);
}

function sleep(millis: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, millis)));
}
