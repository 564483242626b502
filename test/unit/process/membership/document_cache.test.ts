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
  const cache = createDocumentCache();
  const documents = [written('a', 4), written('b', 9)];
  cache.recordRead({documents, position: at(10)});
  return cache;
}

test('changes are returned in order, including deletions', t => {
  const cache = createFixture();
  const documents = [written('c', 11), deleted('a', 12), written('b', 13)];
  cache.recordChanges({documents, position: at(13)});
  t.deepEqual(cache.changesSince(at(10)), documents);
  t.deepEqual(cache.changesSince(at(12)), [written('b', 13)]);
  t.deepEqual(cache.changesSince(at(13)), []);
});

test('a document missing from a second read was deleted', t => {
  const cache = createFixture();
  cache.recordRead({documents: [written('b', 9)], position: at(20)});
  t.deepEqual(cache.changesSince(at(10)), [deleted('a', 20)]);
});

test('changes before the first read or of another epoch are unknown', t => {
  const cache = createFixture();
  t.is(cache.changesSince(at(9)), undefined);
  t.is(cache.changesSince({epoch: 1, revision: 10}), undefined);
  cache.recordRead({documents: [], position: {epoch: 3, revision: 5}});
  t.is(cache.changesSince(at(10)), undefined);
  t.is(cache.changesSince({epoch: 3, revision: 4}), undefined);
  t.deepEqual(cache.changesSince({epoch: 3, revision: 5}), []);
});

test('changes before the oldest deletion kept are unknown', t => {
  const cache = createFixture();
  const documents = Array.from({length: 501}, (_, index) =>
    deleted('x', 11 + index),
  );
  cache.recordChanges({documents, position: at(511)});
  t.is(cache.changesSince(at(10)), undefined);
  t.is(cache.changesSince(at(11))?.length, 500);
});
