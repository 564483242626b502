import test from 'ava';
import type {SourcePosition} from '../../../../src/process/membership/document_source.js';
import {createPeerPositions} from '../../../../src/process/membership/peer_positions.js';

/** A position in the first epoch. */
function at(revision: number): SourcePosition {
  return {epoch: 0, revision};
}

function createFixture() {
  const peerPositions = createPeerPositions();
  let staleCount = 0;
  const listen = () =>
    peerPositions.onStale(() => {
      staleCount += 1;
    });
  return {peerPositions, listen, staleCount: () => staleCount};
}

test('a node is stale once another one has applied a later revision', t => {
  const {peerPositions, listen, staleCount} = createFixture();
  peerPositions.recordRead(at(10));
  listen();
  peerPositions.recordPeerPosition(at(9));
  peerPositions.recordPeerPosition(at(10));
  t.is(staleCount(), 0);
  peerPositions.recordPeerPosition(at(11));
  peerPositions.recordPeerPosition(at(12));
  t.is(staleCount(), 1);
  listen();
  t.is(staleCount(), 2);
  peerPositions.recordWatched(at(12));
  listen();
  t.is(staleCount(), 2);
});

test('a reported position that a read does not confirm is dropped', t => {
  const {peerPositions, listen, staleCount} = createFixture();
  peerPositions.recordPeerPosition(at(1000));
  peerPositions.recordRead(at(10));
  listen();
  t.is(staleCount(), 0);
  t.deepEqual(peerPositions.applied, at(10));
});

test('a disposed listener is not called', t => {
  const {peerPositions, listen, staleCount} = createFixture();
  listen().dispose();
  peerPositions.recordPeerPosition(at(1));
  t.is(staleCount(), 0);
});

test('a later epoch makes a node stale, a higher revision of an earlier one does not', t => {
  const {peerPositions, listen, staleCount} = createFixture();
  peerPositions.recordRead({epoch: 2, revision: 10});
  listen();
  peerPositions.recordPeerPosition({epoch: 1, revision: 500});
  t.is(staleCount(), 0);
  peerPositions.recordPeerPosition({epoch: 3, revision: 5});
  t.is(staleCount(), 1);
  peerPositions.recordRead({epoch: 3, revision: 6});
  listen();
  t.is(staleCount(), 1);
});
