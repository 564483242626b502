import test from 'ava';
import type {DocumentChange} from '../../../../src/process/membership/document_source.js';
import {createDocumentCache} from '../../../../src/process/membership/document_cache.js';

function written(key: string, revision: number): DocumentChange {
  return {key, revision, text: `${key} at ${String(revision)}`};
}

function deleted(key: string, revision: number): DocumentChange {
  return {key, revision, text: undefined};
}

/** A position in the second epoch. */
function at(revision: number) {
  return {epoch: 2, revision};
}

/** A node that has read `a` and `b`. */
function createFixture() {
  const known = createDocumentCache();
  const documents = [written('a', 4), written('b', 9)];
  known.recordRead({documents, position: at(10)});
  return known;
}

test('changes are told in their order, deletions too', t => {
  const known = createFixture();
  const documents = [written('c', 11), deleted('a', 12), written('b', 13)];
  known.recordChanges({documents, position: at(13)});
  t.deepEqual(known.changesSince(at(10)), documents);
  t.deepEqual(known.changesSince(at(12)), [written('b', 13)]);
  t.deepEqual(known.changesSince(at(13)), []);
});

test('what a second read lacks was deleted', t => {
  const known = createFixture();
  known.recordRead({documents: [written('b', 9)], position: at(20)});
  t.deepEqual(known.changesSince(at(10)), [deleted('a', 20)]);
});

test('nothing is told from before the first read or of another epoch', t => {
  const known = createFixture();
  t.is(known.changesSince(at(9)), undefined);
  t.is(known.changesSince({epoch: 1, revision: 10}), undefined);
  known.recordRead({documents: [], position: {epoch: 3, revision: 5}});
  t.is(known.changesSince(at(10)), undefined);
  t.is(known.changesSince({epoch: 3, revision: 4}), undefined);
  t.deepEqual(known.changesSince({epoch: 3, revision: 5}), []);
});

test('who is behind the deletions that are remembered is told nothing', t => {
  const known = createFixture();
  const documents = Array.from({length: 501}, (_, index) =>
    deleted('x', 11 + index),
  );
  known.recordChanges({documents, position: at(511)});
  t.is(known.changesSince(at(10)), undefined);
  t.is(known.changesSince(at(11))?.length, 500);
});
