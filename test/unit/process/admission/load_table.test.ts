import test from 'ava';
import type {LoadReport} from '../../../../src/process/admission/load_table.js';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';
import {createEntryAdmission} from '../../../../src/process/admission/entry_admission.js';
import {
  importanceOf,
  LEAST_IMPORTANT,
  uniformHashOf,
} from '../../../../src/process/admission/importance.js';

function report(fields: Partial<LoadReport> = {}): LoadReport {
  return {
    upstreamId: 'u-1',
    service: 'catalogue',
    inFlightCount: 1,
    queuedCount: 0,
    limitCount: 10,
    averageMillis: 20,
    level: LEAST_IMPORTANT,
    madeAtMillis: 0,
    ...fields,
  };
}

test('an older report never replaces a newer one', t => {
  const board = createLoadTable(() => 10);
  board.observe(report({level: 5, madeAtMillis: 10}));
  board.observe(report({level: 500, madeAtMillis: 9}));
  t.is(board.find('u-1')?.level, 5);
});

test('reports of an earlier start end with it, also those that come late', t => {
  // Symptom: requests are turned away for an upstream that is idle. Sequence: it
  // shed, starts again under its id, and another node passes the old report on.
  let now = 100;
  const board = createLoadTable(() => now);
  board.observe(report({level: 0, madeAtMillis: 90}));
  board.discardReports('u-1');
  board.observe(report({level: 0, madeAtMillis: 95}));
  t.is(board.find('u-1'), undefined);
  now = 101;
  board.observe(report({level: 7, madeAtMillis: 101}));
  t.is(board.find('u-1')?.level, 7);
});

test('a service has the level that half of what it can do has', t => {
  // A fast upstream that sheds counts for more than slow ones that do not.
  let now = 0;
  const board = createLoadTable(() => now);
  board.observe(report({upstreamId: 'fast', averageMillis: 10, level: 50}));
  board.observe(report({upstreamId: 'slow', averageMillis: 30, level: 500}));
  t.is(board.levelOf('catalogue'), 50);
  now = 100;
  board.observe(report({upstreamId: 'third', averageMillis: 12, level: 90}));
  t.is(board.levelOf('catalogue'), 90);
  t.is(board.levelOf('unknown'), LEAST_IMPORTANT);
});

test('an upstream that is out of reach has no say', t => {
  const board = createLoadTable(() => 0);
  board.observe(report({upstreamId: 'gone', limitCount: 0, level: 3}));
  t.is(board.levelOf('catalogue'), LEAST_IMPORTANT);
  t.is(board.serviceLoadOf('catalogue'), undefined);
});

test('the load of a service is that of all its upstreams together', t => {
  const board = createLoadTable(() => 0);
  board.observe(report({upstreamId: 'a', inFlightCount: 10, queuedCount: 20}));
  board.observe(report({upstreamId: 'b', inFlightCount: 5, queuedCount: 0}));
  t.like(board.serviceLoadOf('catalogue'), {
    averageMillis: 20,
    backlogMillis: 20,
    busyRatio: 0.75,
  });
});

test('of a service that sheds, all upstreams are told of', t => {
  // Symptom: the upstreams of a service take different levels, and the fast one
  // keeps out what the slow ones have room for. Cause: the node beside each
  // knew of those that shed only, and took its own queue for that of all.
  const board = createLoadTable(() => 0);
  board.observe(report({upstreamId: 'sheds', level: 9}));
  board.observe(report({upstreamId: 'takes'}));
  board.observe(report({upstreamId: 'other', service: 'calm'}));
  const ids = board.shedding().map(({upstreamId}) => upstreamId);
  t.deepEqual(ids.sort(), ['sheds', 'takes']);
});

test('a level that nobody renews lets everything in again', t => {
  // Symptom: a route stays shut long after its service is well. Nothing of it
  // is let in, so no answer brings a newer report. Cause: reports without age.
  let now = 0;
  const board = createLoadTable(() => now);
  board.observe(report({level: 0}));
  t.is(board.levelOf('catalogue'), 0);
  now = 3100;
  t.is(board.levelOf('catalogue'), LEAST_IMPORTANT);
});

test('the gate turns away what a deeper service sheds, and only that', t => {
  const board = createLoadTable(() => 0);
  board.observe(report({level: importanceOf(1, 'any')}));
  const gate = createEntryAdmission(board, () => true);
  const tree = new Map([['catalogue', 4]]);
  const low = {importance: 3 * 64, attemptId: 'a'};
  t.is(gate.shedCause(low, 'atlas', tree)?.service, 'catalogue');
  const high = {importance: 3, attemptId: 'a'};
  t.is(gate.shedCause(high, 'atlas', tree), undefined);
  t.is(gate.shedCause(low, 'atlas', new Map()), undefined);
});

test('attempts spread evenly over buckets and places', t => {
  const ids = Array.from({length: 6400}, (_, index) =>
    (index * 2_654_435_761).toString(16),
  );
  const low = ids.filter(id => importanceOf(0, id) < 32).length;
  const near = ids.filter(id => uniformHashOf(id) < 0.5).length;
  t.true(Math.abs(low - 3200) < 250);
  t.true(Math.abs(near - 3200) < 250);
});
