/**
 * Calls to the control listener of another node.
 */
import test from 'ava';
import * as Effect from 'effect/Effect';
import {startControlNode} from '../../fakes/control_nodes.js';
import {createPolicyBytes} from '../../fakes/policy_documents.js';

test('a time limit with a fraction of a millisecond is accepted', async t => {
  // Symptom: no host ever holds its view lease, so every keyed request is
  // refused; confirmations fail with InvalidArgument.
  // Sequence: the lease of 2,000 ms is divided into three rounds of two waves;
  // the time limit of an ask, 333.33 ms, goes into the call's header as it is.
  // Cause: the protocol's header takes whole milliseconds only.
  const node = await startControlNode({
    hostName: 'h1',
    policy: createPolicyBytes(1),
  });
  t.teardown(() => {
    node.stop();
  });
  const peer = {...node.seed};
  const request = {
    hostName: 'h2',
    policyVersion: 1n,
    hostListRevision: 1n,
  };
  const answer = node.client.confirmView(peer, request, 2000.25);
  const {policyVersion} = await Effect.runPromise(answer);
  t.is(policyVersion, 1n);
});
