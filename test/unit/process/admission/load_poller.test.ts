import test from 'ava';
import {LEAST_IMPORTANT} from '../../../../src/process/admission/importance.js';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';
import {createLoadPoller} from '../../../../src/process/admission/load_poller.js';

function createFixture() {
  let now = 0;
  const loadTable = createLoadTable(() => now);
  const poller = createLoadPoller({
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
    poller,
    report,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('a node that rejects every request keeps receiving the level', t => {
  // Guards against requests that are admitted for a service that sheds, half of
  // which failed below the entry node: a node that rejects all requests of its
  // clients sends nothing and received reports with responses only; a second
  // later its reports began to age, and it admitted everything again.
  const {poller, report, advance} = createFixture();
  report('other', 40);
  poller.recordShed('catalogue');
  t.deepEqual(poller.dueServices(), []);
  advance(400);
  report('own', 40);
  t.deepEqual(poller.dueServices(), ['catalogue']);
  t.deepEqual(poller.dueServices(), []);
  advance(400);
  t.deepEqual(poller.dueServices(), ['catalogue']);
  report('other', 40);
  advance(300);
  t.deepEqual(poller.dueServices(), []);
});

test('a node that has rejected nothing for a second does not poll', t => {
  const {poller, advance} = createFixture();
  t.deepEqual(poller.dueServices(), []);
  poller.recordShed('catalogue');
  advance(1001);
  t.deepEqual(poller.dueServices(), []);
});

test('upstreams with outdated reports do not raise the level of those with fresh ones', t => {
  // Guards against requests that are admitted for a service that sheds, at a
  // node that receives reports of one of four upstreams: the levels of the other
  // three rose with age, and theirs was the median.
  const {loadTable, report, advance} = createFixture();
  for (const id of ['a', 'b', 'c', 'd']) report(id, 10);
  advance(2500);
  report('a', 10);
  t.is(loadTable.levelOf('catalogue'), 10);
  advance(3100);
  t.is(loadTable.levelOf('catalogue'), LEAST_IMPORTANT);
});
