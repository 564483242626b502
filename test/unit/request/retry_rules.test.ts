import test from 'ava';
import type {ExecutionResult} from '../../../src/connection/execution.js';
import {createCallTrees} from '../../../src/process/admission/call_trees.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createRetryBudget} from '../../../src/process/retries/retry_budget.js';
import type {AttemptedRequest} from '../../../src/request/attempted_request.js';
import {createRetryRules} from '../../../src/request/retry_rules.js';
import {executionCall} from '../../fakes/execution_call.js';
import {serviceRoute} from '../../fakes/route_documents.js';

const BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 40};

const SILENT: ExecutionResult = {
  kind: 'unknown',
  reason: 'silent',
  hasFailedCall: false,
};

/** Rules of a single-node fleet that has been running for 60 s. */
function createFixture() {
  let now = 0;
  const nowMillis = (): number => now;
  const budget = createRetryBudget({
    bound: () => BOUND,
    nowMillis,
    nodesCount: () => 1,
  });
  now += 60_000;
  const rules = createRetryRules({
    budget,
    trees: createCallTrees(),
    loadTable: createLoadTable(nowMillis),
    nowMillis,
  });
  const request = (): AttemptedRequest => ({
    route: serviceRoute(),
    service: 'orders',
    call: executionCall(now),
  });
  return {budget, rules, request};
}

test('retries after silence stay within the retry budget of the fleet', t => {
  // Guards against a service that gets each request twice because its nodes are too busy
  // to reply: they are marked as lost although the requests arrived and are executed.
  // Such a retry was always allowed, as if the request had never arrived.
  const {budget, rules, request} = createFixture();
  const requestsCount = 400;
  let retriesCount = 0;
  for (let sent = 0; sent < requestsCount; sent += 1) {
    budget.recordRequest(new Map([['orders', 1]]));
    if (rules.mayRetry(request(), SILENT, 1)) retriesCount += 1;
  }
  const allowedCount = BOUND.ratio * requestsCount + BOUND.slackCount;
  t.true(retriesCount <= allowedCount, String(retriesCount));
  t.true(retriesCount >= 0.75 * BOUND.ratio * requestsCount);
});

test('what other retries leave of the budget is reserved for retries after silence', t => {
  // Guards against failed reads when a zone is partitioned while a service fails: reads in
  // flight to the zone failed although the budget had room for their retries.
  const {budget, rules, request} = createFixture();
  const one = new Map([['orders', 1]]);
  for (let sent = 0; sent < 400; sent += 1) budget.recordRequest(one);
  while (budget.tryTake(one)) continue;
  t.true(rules.mayRetry(request(), SILENT, 1));
});
