import test from 'ava';
import type {LoadReport} from '../../../src/process/load_board.js';
import {createLoadBoard} from '../../../src/process/load_board.js';
import {createEntryGate} from '../../../src/process/entry_gate.js';
import {
  importanceOf,
  LEAST_IMPORTANT,
  spreadOf,
} from '../../../src/process/importance.js';

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
  const board = createLoadBoard(() => 10);
  board.observe(report({level: 5, madeAtMillis: 10}));
  board.observe(report({level: 500, madeAtMillis: 9}));
  t.is(board.find('u-1')?.level, 5);
});

test('reports of an earlier start end with it, also those that come late', t => {
  // Symptom: requests are turned away for an upstream that is idle. Sequence: it
  // shed, starts again under its id, and another node passes the old report on.
  let now = 100;
  const board = createLoadBoard(() => now);
  board.observe(report({level: 0, madeAtMillis: 90}));
  board.forget('u-1');
  board.observe(report({level: 0, madeAtMillis: 95}));
  t.is(board.find('u-1'), undefined);
  now = 101;
  board.observe(report({level: 7, madeAtMillis: 101}));
  t.is(board.find('u-1')?.level, 7);
});

test('upstreams count by what they can do', t => {
  const board = createLoadBoard(() => 0);
  board.observe(report({upstreamId: 'fast', averageMillis: 10, level: 50}));
  board.observe(report({upstreamId: 'slow', averageMillis: 30, level: 500}));
  t.is(board.takingRatio('catalogue', 40), 1);
  t.is(board.takingRatio('catalogue', 100), 0.25);
  t.is(board.takingRatio('unknown', 100), 1);
});

test('a level that nobody renews lets everything in again', t => {
  // Symptom: a route stays shut long after its service is well. Nothing of it
  // is let in, so no answer brings a newer report. Cause: reports without age.
  let now = 0;
  const board = createLoadBoard(() => now);
  board.observe(report({level: 0}));
  t.is(board.takingRatio('catalogue', 200), 0);
  now = 3100;
  t.is(board.takingRatio('catalogue', 200), 1);
});

test('the gate turns away what a deeper service sheds, and only that', t => {
  const board = createLoadBoard(() => 0);
  board.observe(report({level: importanceOf(1, 'any')}));
  const gate = createEntryGate(board, () => true);
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
  const near = ids.filter(id => spreadOf(id) < 0.5).length;
  t.true(Math.abs(low - 3200) < 250);
  t.true(Math.abs(near - 3200) < 250);
});
