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
  const loadTable = createLoadTable(() => 10);
  loadTable.observe(report({level: 5, madeAtMillis: 10}));
  loadTable.observe(report({level: 500, madeAtMillis: 9}));
  t.is(loadTable.find('u-1')?.level, 5);
});

test('reports of a previous start are discarded, also those that arrive late', t => {
  // Guards against requests that are rejected for an idle upstream: it shed,
  // restarted under its id, and another node forwarded the old report.
  let now = 100;
  const loadTable = createLoadTable(() => now);
  loadTable.observe(report({level: 0, madeAtMillis: 90}));
  loadTable.discardReports('u-1');
  loadTable.observe(report({level: 0, madeAtMillis: 95}));
  t.is(loadTable.find('u-1'), undefined);
  now = 101;
  loadTable.observe(report({level: 7, madeAtMillis: 101}));
  t.is(loadTable.find('u-1')?.level, 7);
});

test('the level of a service is that of half of its capacity', t => {
  // A fast upstream that sheds has a higher weight than slow ones that do not.
  let now = 0;
  const loadTable = createLoadTable(() => now);
  loadTable.observe(report({upstreamId: 'fast', averageMillis: 10, level: 50}));
  loadTable.observe(
    report({upstreamId: 'slow', averageMillis: 30, level: 500}),
  );
  t.is(loadTable.levelOf('catalogue'), 50);
  now = 100;
  loadTable.observe(
    report({upstreamId: 'third', averageMillis: 12, level: 90}),
  );
  t.is(loadTable.levelOf('catalogue'), 90);
  t.is(loadTable.levelOf('unknown'), LEAST_IMPORTANT);
});

test('an unreachable upstream does not affect the level', t => {
  const loadTable = createLoadTable(() => 0);
  loadTable.observe(report({upstreamId: 'gone', limitCount: 0, level: 3}));
  t.is(loadTable.levelOf('catalogue'), LEAST_IMPORTANT);
  t.is(loadTable.serviceLoadOf('catalogue'), undefined);
});

test('the load of a service combines all of its upstreams', t => {
  const loadTable = createLoadTable(() => 0);
  loadTable.observe(
    report({upstreamId: 'a', inFlightCount: 10, queuedCount: 20}),
  );
  loadTable.observe(
    report({upstreamId: 'b', inFlightCount: 5, queuedCount: 0}),
  );
  t.like(loadTable.serviceLoadOf('catalogue'), {
    averageMillis: 20,
    backlogMillis: 20,
    busyRatio: 0.75,
  });
});

test('the reports of all upstreams of a shedding service are returned', t => {
  // Guards against upstreams of a service with different levels, where the fast
  // one rejects requests that the slow ones have room for: the node beside each
  // received the reports of shedding upstreams only, and used its queue as that
  // of the whole service.
  const loadTable = createLoadTable(() => 0);
  loadTable.observe(report({upstreamId: 'sheds', level: 9}));
  loadTable.observe(report({upstreamId: 'takes'}));
  loadTable.observe(report({upstreamId: 'other', service: 'calm'}));
  const ids = loadTable.shedding().map(({upstreamId}) => upstreamId);
  t.deepEqual(ids.sort(), ['sheds', 'takes']);
});

test('a level without newer reports rises until everything is admitted', t => {
  // Guards against a route that stays shed long after its service has
  // recovered: none of its requests are admitted, so no response brings a newer
  // report, and reports had no age.
  let now = 0;
  const loadTable = createLoadTable(() => now);
  loadTable.observe(report({level: 0}));
  t.is(loadTable.levelOf('catalogue'), 0);
  now = 3100;
  t.is(loadTable.levelOf('catalogue'), LEAST_IMPORTANT);
});

test('entry admission rejects only requests that a deeper service sheds', t => {
  const loadTable = createLoadTable(() => 0);
  loadTable.observe(report({level: importanceOf(1, 'any')}));
  const entryAdmission = createEntryAdmission(loadTable, () => true);
  const tree = new Map([['catalogue', 4]]);
  const low = {importance: 4 * 64 - 1, attemptId: 'a'};
  t.is(entryAdmission.shedCause(low, 'atlas', tree)?.service, 'catalogue');
  const high = {importance: 3, attemptId: 'a'};
  t.is(entryAdmission.shedCause(high, 'atlas', tree), undefined);
  t.is(entryAdmission.shedCause(low, 'atlas', new Map()), undefined);
});

test('attempts are distributed evenly over buckets and hash values', t => {
  const ids = Array.from({length: 6400}, (_, index) =>
    (index * 2_654_435_761).toString(16),
  );
  const low = ids.filter(id => importanceOf(0, id) < 32).length;
  const lowHash = ids.filter(id => uniformHashOf(id) < 0.5).length;
  t.true(Math.abs(low - 3200) < 250);
  t.true(Math.abs(lowHash - 3200) < 250);
});
