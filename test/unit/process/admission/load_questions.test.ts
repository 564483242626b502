import test from 'ava';
import {LEAST_IMPORTANT} from '../../../../src/process/admission/importance.js';
import {createLoadBoard} from '../../../../src/process/admission/load_board.js';
import {createLoadQuestions} from '../../../../src/process/admission/load_questions.js';

function createFixture() {
  let now = 0;
  const board = createLoadBoard(() => now);
  const questions = createLoadQuestions({
    board,
    ownUpstreamId: () => 'own',
    nowMillis: () => now,
  });
  const report = (upstreamId: string, level: number): void => {
    board.observe({
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
    board,
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
  questions.noteShed('catalogue');
  t.deepEqual(questions.due(), []);
  advance(400);
  report('own', 40);
  t.deepEqual(questions.due(), ['catalogue']);
  t.deepEqual(questions.due(), []);
  advance(400);
  t.deepEqual(questions.due(), ['catalogue']);
  report('other', 40);
  advance(300);
  t.deepEqual(questions.due(), []);
});

test('nobody asks who has turned nothing away for a second', t => {
  const {questions, advance} = createFixture();
  t.deepEqual(questions.due(), []);
  questions.noteShed('catalogue');
  advance(1001);
  t.deepEqual(questions.due(), []);
});

test('upstreams not heard of lately do not raise the level of those that are', t => {
  // Symptom: as above, at a node that hears one of four upstreams. Cause: the
  // levels of the other three were let go with age, and theirs was the median.
  const {board, report, advance} = createFixture();
  for (const id of ['a', 'b', 'c', 'd']) report(id, 10);
  advance(2500);
  report('a', 10);
  t.is(board.levelOf('catalogue'), 10);
  advance(3100);
  t.is(board.levelOf('catalogue'), LEAST_IMPORTANT);
});
