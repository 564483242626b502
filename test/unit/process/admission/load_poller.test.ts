import test from 'ava';
import {LEAST_IMPORTANT} from '../../../../src/process/admission/importance.js';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';
import {createLoadPoller} from '../../../../src/process/admission/load_poller.js';

function createFixture() {
  let now = 0;
  const loadTable = createLoadTable(() => now);
  const questions = createLoadPoller({
    loadTable,
    ownUpstreamId: () => 'own',
    nowMillis: () => now,
  });
  const report = (upstreamId: string, level: number): void => {
    loadTable.observe({
      upstreamId,
      service: 'catalogue',
      inFlightCount: 1,
      queuedCount: 0,
      limitCount: 10,
      averageMillis: 20,
      level,
      madeAtMillis: now,
    });
  };
  return {
    loadTable,
    questions,
    report,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('a node that turns everything away goes on hearing of the level', t => {
  // Symptom: half of what is let in for a service that sheds fails below the
  // entry. Sequence: nodes turn their clients away, send nothing, and hear
  // nothing; a second later their picture begins to age, and lets all in again.
  // Cause: loads came with answers only.
  const {questions, report, advance} = createFixture();
  report('other', 40);
  questions.recordShed('catalogue');
  t.deepEqual(questions.dueServices(), []);
  advance(400);
  report('own', 40);
  t.deepEqual(questions.dueServices(), ['catalogue']);
  t.deepEqual(questions.dueServices(), []);
  advance(400);
  t.deepEqual(questions.dueServices(), ['catalogue']);
  report('other', 40);
  advance(300);
  t.deepEqual(questions.dueServices(), []);
});

test('nobody asks who has turned nothing away for a second', t => {
  const {questions, advance} = createFixture();
  t.deepEqual(questions.dueServices(), []);
  questions.recordShed('catalogue');
  advance(1001);
  t.deepEqual(questions.dueServices(), []);
});

test('upstreams not heard of lately do not raise the level of those that are', t => {
  // Symptom: as above, at a node that hears one of four upstreams. Cause: the
  // levels of the other three were let go with age, and theirs was the median.
  const {loadTable, report, advance} = createFixture();
  for (const id of ['a', 'b', 'c', 'd']) report(id, 10);
  advance(2500);
  report('a', 10);
  t.is(loadTable.levelOf('catalogue'), 10);
  advance(3100);
  t.is(loadTable.levelOf('catalogue'), LEAST_IMPORTANT);
});
