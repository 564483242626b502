/**
 * Records the outcome of requests by route, for decisions on later requests.
 */
import type {CallTrees, RouteTarget} from '../process/admission/call_trees.js';
import type {CompletionThrottle} from '../process/admission/completion_throttle.js';
import type {AttemptsResult} from './attempt_runner.js';
import type {EnteredRequest} from './entered_request.js';

/** Records of one node that outcomes update. */
export interface OutcomeRecords {
  readonly trees: CallTrees;
  readonly completionThrottle: CompletionThrottle;
}

/** Why a request was admitted: as all others, or to correct its call tree. */
export type Admission = 'regular' | 'probe';

/** Records the outcome of a request that entered at this node. */
export function recordOutcome(
  records: OutcomeRecords,
  entered: EnteredRequest,
  result: AttemptsResult,
  admission: Admission,
): void {
  recordCallTree(records, entered, result, admission);
  recordCompletion(records, entered, result);
}

/** Route and service of a request, which determine its call tree. */
export function targetOf({
  route,
  service,
}: Pick<EnteredRequest, 'route' | 'service'>): RouteTarget {
  return {routeName: route.name, service};
}

/** Updates the call tree of the route from the calls in the response. */
function recordCallTree(
  {trees}: OutcomeRecords,
  entered: EnteredRequest,
  result: AttemptsResult,
  admission: Admission,
): void {
  const {lastResult} = result;
  if (lastResult.kind !== 'answered') return;
  const counts = new Map(lastResult.calls);
  counts.set(entered.service, (counts.get(entered.service) ?? 0) + 1);
  const target = targetOf(entered);
  if (lastResult.answer.statusCode < 300) {
    if (admission === 'probe') trees.observeProbe(target, counts);
    else trees.observe(target, counts);
  } else if (lastResult.hasFailedCall) {
    trees.observeFailed(target, counts);
  }
}

/** Records whether a client's request completed or failed for a call below it. */
function recordCompletion(
  {completionThrottle}: OutcomeRecords,
  {route, parent}: EnteredRequest,
  {lastResult}: AttemptsResult,
): void {
  if (parent !== undefined || lastResult.kind !== 'answered') return;
  const isCompleted = lastResult.answer.statusCode < 300;
  if (!isCompleted && !lastResult.hasFailedCall) return;
  completionThrottle.recordEnd(route.name, isCompleted);
}
