/**
 * Bound of the messages that wait for one peer.
 */
import test from 'ava';
import {
  createHeartbeat,
  createStatusRequest,
} from '../../../src/connection/control_codec.js';
import {createPeerLink} from '../../../src/connection/peer_link.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {EMPTY_VIEW} from '../../fakes/scripted_peer.js';

/*
 * Symptom: the memory of a node grows until the process ends.
 * Events: a peer stops reading while its connection stays open; heartbeats and
 * statuses for it pile up.
 * Cause: a queue without a bound.
 */
test('a peer that reads nothing is cut off at the bound', async t => {
  const metrics = createCountingMetrics();
  const link = createPeerLink({direction: 'outbound', metrics});
  for (let index = 0; index < 100; index += 1) {
    link.send(createHeartbeat(EMPTY_VIEW));
  }
  t.is(link.outgoing.length, 64);
  t.true(link.outgoing.isClosed);
  t.is(metrics.countOf('control.links_overflowed'), 1);
  link.send(createStatusRequest());
  const kinds = new Set<string | undefined>();
  for await (const {message} of link.outgoing) kinds.add(message.case);
  t.deepEqual([...kinds], ['heartbeat']);
});
