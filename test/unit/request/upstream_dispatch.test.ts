import test from 'ava';
import {createCancelSource} from '../../../src/base/cancel_signal.js';
import {createCallTrees} from '../../../src/process/admission/call_trees.js';
import {createRetryBudget} from '../../../src/process/retries/retry_budget.js';
import {NO_STARTED_ORDERS} from '../../../src/process/retries/started_orders.js';
import type {CancelCause} from '../../../src/protocol/cancel_cause.js';
import type {LocalUpstream} from '../../../src/request/local_upstream.js';
import {createUpstreamDispatch} from '../../../src/request/upstream_dispatch.js';
import {executionCall} from '../../fakes/execution_call.js';

test('a request whose client leaves before its first dispatch is not sent', async t => {
  // Guards against an upstream that loses a slot for good: sending a cancelled request
  // ended in an exception.
  let startTurn = (): void => undefined;
  const turn = new Promise<void>(resolve => {
    startTurn = resolve;
  });
  const upstream = {
    acquireDispatchTurn: () => turn,
    currentIdOf: (id: string) => id,
    onSuspected: () => ({dispose: () => undefined}),
  } as unknown as LocalUpstream;
  let sentCount = 0;
  const count = (): void => {
    sentCount += 1;
  };
  const dispatcher = createUpstreamDispatch({
    upstream,
    sender: {
      send: count,
      closeIdleConnections: () => undefined,
      dispose: () => undefined,
    },
    budget: createRetryBudget({
      bound: () => ({ratio: 0.2, windowMillis: 10_000, slackCount: 8}),
      nowMillis: () => 0,
      nodesCount: () => 1,
    }),
    trees: createCallTrees(),
    ownService: () => 'orders',
    nowMillis: () => 0,
    announcements: {recordDispatch: count, observe: () => undefined},
    pacer: {takeUnchecked: () => undefined},
    startedOrders: NO_STARTED_ORDERS,
  });
  const {signal, cancel} = createCancelSource<CancelCause>();
  const result = dispatcher.dispatch(
    {
      ...executionCall(0),
      upstreamId: 'u-1',
      fetchBody: () => Buffer.alloc(0),
      cancel: signal,
    },
    Buffer.alloc(0),
  );
  cancel('client-left');
  startTurn();
  t.deepEqual(await result, {kind: 'not-run', reason: 'client-left'});
  t.is(sentCount, 0);
});
