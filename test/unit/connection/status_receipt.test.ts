/**
 * When an announcement counts as received.
 */
import test from 'ava';
import * as Effect from 'effect/Effect';
import {createEmitter} from '../../../src/base/event.js';
import {createLinkSet} from '../../../src/connection/link_set.js';
import type {PeerLink} from '../../../src/connection/peer_link.js';
import {createPeerLink} from '../../../src/connection/peer_link.js';
import {awaitStatusReceipt} from '../../../src/connection/status_receipt.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {EMPTY_VIEW} from '../../fakes/scripted_peer.js';

const OWN_DIGEST = 7n;

function startWaiting(linksCount: number) {
  const metrics = createCountingMetrics();
  const links = createLinkSet();
  const learned = createEmitter<PeerLink>();
  const all = Array.from({length: linksCount}, (_, index) =>
    createPeerLink({
      direction: 'outbound',
      target: {
        hostName: `p-${String(index)}`,
        address: '127.0.0.1',
        controlPort: 1,
      },
      metrics,
    }),
  );
  for (const link of all) links.add(link);
  const counts = {asked: 0, ended: 0};
  const done = Effect.runPromise(
    awaitStatusReceipt({
      links,
      onDidLearnView: learned.event,
      ownDigest: () => OWN_DIGEST,
      askPeers: () => {
        counts.asked += 1;
      },
    }),
  ).then(() => {
    counts.ended += 1;
  });
  const hear = async (link: PeerLink | undefined, statusDigest: bigint) => {
    if (link === undefined) throw new Error('There is no such link.');
    link.view = {...EMPTY_VIEW, statusDigest};
    learned.fire(link);
    await new Promise(setImmediate);
  };
  return {links, all, counts, done, hear};
}

test('it ends when the last peer has told the own digest', async t => {
  const {all, counts, done, hear} = startWaiting(2);
  await hear(all[0], OWN_DIGEST);
  await hear(all[1], 1n);
  t.is(counts.ended, 0);
  await hear(all[1], OWN_DIGEST);
  await done;
  t.deepEqual(counts, {asked: 1, ended: 1});
});

test('it does not wait for a peer that has gone', async t => {
  const {links, all, counts, done, hear} = startWaiting(2);
  await hear(all[0], OWN_DIGEST);
  t.is(counts.ended, 0);
  if (all[1] !== undefined) links.delete(all[1]);
  await done;
  t.is(counts.ended, 1);
});

test('without peers it ends at once, and a mute peer does not hold it for good', async t => {
  await startWaiting(0).done;
  await startWaiting(1).done;
  t.pass();
});
