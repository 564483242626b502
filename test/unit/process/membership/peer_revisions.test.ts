import test from 'ava';
import {createPeerRevisions} from '../../../../src/process/membership/peer_revisions.js';

function createFixture() {
  const peerRevisions = createPeerRevisions();
  let staleCount = 0;
  const listen = () =>
    peerRevisions.onStale(() => {
      staleCount += 1;
    });
  return {peerRevisions, listen, staleCount: () => staleCount};
}

test('a node is behind once another one has a later revision in force', t => {
  const {peerRevisions, listen, staleCount} = createFixture();
  peerRevisions.noteRead(10);
  listen();
  peerRevisions.noteTold(9);
  peerRevisions.noteTold(10);
  t.is(staleCount(), 0);
  peerRevisions.noteTold(11);
  peerRevisions.noteTold(12);
  t.is(staleCount(), 1);
  listen();
  t.is(staleCount(), 2);
  peerRevisions.noteWatched(12);
  listen();
  t.is(staleCount(), 2);
});

test('what a read does not bear out is forgotten', t => {
  const {peerRevisions, listen, staleCount} = createFixture();
  peerRevisions.noteTold(1000);
  peerRevisions.noteRead(10);
  listen();
  t.is(staleCount(), 0);
  t.is(peerRevisions.knownRevision, 10);
});

test('who listens no more is not told', t => {
  const {peerRevisions, listen, staleCount} = createFixture();
  listen().dispose();
  peerRevisions.noteTold(1);
  t.is(staleCount(), 0);
});
