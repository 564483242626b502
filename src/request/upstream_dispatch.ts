/**
 * Dispatches requests to the upstream of this host, under the id of its current start.
 */
import {createCancelSource} from '../base/cancel_signal.js';
import type {CancelCause} from '../protocol/cancel_cause.js';
import type {UpstreamRequest} from '../connection/upstream_request.js';
import type {UpstreamResult} from '../connection/upstream_result.js';
import type {UpstreamSender} from '../connection/upstream_sender.js';
import type {CallTrees} from '../process/admission/call_trees.js';
import {attemptCallCounts, NO_CALLS} from '../process/admission/call_trees.js';
import type {DispatchPacer} from '../process/admission/dispatch_pacer.js';
import type {RetryBudget} from '../process/retries/retry_budget.js';
import type {StartedOrders} from '../process/retries/started_orders.js';
import type {
  AnnouncementObserver,
  AnnouncementSource,
} from './announcement_observer.js';
import type {LocalCall} from './local_call.js';
import type {LocalUpstream} from './local_upstream.js';

/** Dispatches requests that hold a slot. */
export interface UpstreamDispatch {
  /**
   * Dispatches the request, and a second time if the upstream reports that it restarted
   * with another id. Without this, all requests to the service fail until the new entry is
   * published, which was half of the requests lost in the 4 s after a power loss.
   */
  dispatch(call: LocalCall, body: Buffer): Promise<UpstreamResult>;
}

/** Dependencies of the dispatch. */
export interface UpstreamDispatchOptions {
  readonly upstream: LocalUpstream;
  readonly sender: UpstreamSender;
  readonly budget: RetryBudget;
  readonly trees: CallTrees;
  readonly ownService: () => string;
  readonly nowMillis: () => number;
  readonly announcements: AnnouncementObserver;
  readonly pacer: Pick<DispatchPacer, 'takeUnchecked'>;
  /** Orders that the upstream may have run. */
  readonly startedOrders: StartedOrders;
  /** Called when an order is not dispatched, since it may have run already. */
  readonly onRepeated?: (call: LocalCall) => void;
  /** Called when the upstream rejects a call because its id is a different one. */
  readonly onMisdirected?: (call: LocalCall, actualId?: string) => void;
}

/** Creates the dispatch of a node. */
export function createUpstreamDispatch(
  options: UpstreamDispatchOptions,
): UpstreamDispatch {
  return {
    dispatch: (call, body) =>
      call.isRepeatable
        ? dispatchToCurrent(options, call, body)
        : dispatchOnce(options, call, body),
  };
}

/** Dispatches an order unless the upstream may have run one with the same id. */
async function dispatchOnce(
  options: UpstreamDispatchOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const {startedOrders} = options;
  if (!startedOrders.begin(call.attemptId, call.deadlineMillis)) {
    options.onRepeated?.(call);
    return {kind: 'unknown', reason: 'repeated', wasReused: false};
  }
  const result = await dispatchToCurrent(options, call, body);
  if (result.kind === 'not-run') startedOrders.release(call.attemptId);
  return result;
}

async function dispatchToCurrent(
  options: UpstreamDispatchOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  const {upstream} = options;
  const turn = upstream.acquireDispatchTurn(call.upstreamId);
  if (turn instanceof Promise) await turn;
  const dispatchedId = upstream.currentIdOf(call.upstreamId);
  const result = await send(options, {...call, upstreamId: dispatchedId}, body);
  if (result.kind !== 'not-run' || result.reason !== 'misdirected') {
    return result;
  }
  options.onMisdirected?.(call, result.actualId);
  upstream.markMisdirected(call.upstreamId, result.actualId);
  const currentId = upstream.currentIdOf(call.upstreamId);
  if (currentId === call.upstreamId || currentId === dispatchedId) {
    return result;
  }
  if (upstream.leavingReason(currentId) !== undefined) return result;
  if (!mayDispatchAgain(options, call, turn === 'first')) return result;
  options.pacer.takeUnchecked();
  return send(options, {...call, upstreamId: currentId}, body);
}

/**
 * Charges a second dispatch to the retry budget, since only this node can count it. The
 * first one for an id is always allowed, as there is one per upstream start. Others, which
 * were dispatched before a late rejection, need room in the budget; without it the sender
 * gets the refusal and decides.
 */
function mayDispatchAgain(
  {budget, trees, ownService}: UpstreamDispatchOptions,
  {attemptId, origin}: LocalCall,
  isFirst: boolean,
): boolean {
  const isRoot = attemptId === origin.rootId;
  const service = ownService();
  const target = {routeName: origin.rootRouteName, service};
  const tree = isRoot ? trees.callCountsOf(target) : NO_CALLS;
  const counts = attemptCallCounts(tree, service);
  if (!isFirst) return budget.tryTake(counts);
  budget.takeUnchecked(counts);
  return true;
}

/** Sends the request and cancels it at its deadline. */
function send(
  options: UpstreamDispatchOptions,
  call: LocalCall,
  body: Buffer,
): Promise<UpstreamResult> {
  // The client may have left while the request waited for its turn.
  const {cause} = call.cancel;
  if (cause !== undefined) {
    return Promise.resolve({kind: 'not-run', reason: cause});
  }
  const source = createCancelSource<CancelCause>();
  const cancelListener = call.cancel.onCancel(source.cancel);
  const suspectedListener = options.upstream.onSuspected(() => {
    call.onSuspected?.('upstream-lost');
  });
  const sentMillis = options.nowMillis();
  const leftMillis = call.deadlineMillis - sentMillis;
  const timer = setTimeout(
    () => {
      source.cancel('deadline');
    },
    Math.max(0, leftMillis),
  );
  const request: UpstreamRequest = {
    attemptId: call.attemptId,
    upstreamId: call.upstreamId,
    callerService: call.callerService,
    method: call.method,
    target: call.target,
    headers: call.headers,
    body,
    isRepeatable: call.isRepeatable,
    timeoutMillis: Math.max(1, Math.floor(leftMillis)),
    cancel: source.signal,
  };
  options.announcements.recordDispatch(call);
  return new Promise(resolve => {
    options.sender.send(request, result => {
      clearTimeout(timer);
      cancelListener.dispose();
      suspectedListener.dispose();
      observeAnnouncements(options.announcements, result, {
        upstreamId: call.upstreamId,
        sentMillis,
      });
      resolve(result);
    });
  });
}

function observeAnnouncements(
  observer: AnnouncementObserver,
  result: UpstreamResult,
  source: AnnouncementSource,
): void {
  if (result.kind === 'unknown') return;
  const {announcements} = result;
  if (announcements === undefined) return;
  const isMisdirected =
    result.kind === 'not-run' && result.reason === 'misdirected';
  observer.observe(
    announcements,
    isMisdirected ? {...source, upstreamId: result.actualId} : source,
  );
}
