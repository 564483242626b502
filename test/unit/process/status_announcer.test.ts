/**
 * Announcements of the own host against what peers still hold of it.
 */
import test from 'ava';
import {createStatusAnnouncer} from '../../../src/process/status_announcer.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

function createAnnouncer(startWallMillis: number) {
  const metrics = createCountingMetrics();
  const time = createManualTimeSource({startWallMillis});
  const fleetView = createFleetView({metrics, time});
  const announcer = createStatusAnnouncer({
    hostName: 'a-1',
    fleetView,
    metrics,
    time,
  });
  return {announcer, fleetView, metrics};
}

/*
 * Symptom: a restarted host gets no work although it serves.
 * Events: its process stops and announces so; the machine's clock is set back;
 * the new process announces itself with a lower incarnation; peers keep the
 * stop as the newer status and tell the new process about it.
 * Cause: an incarnation taken from a wall clock that may go back.
 */
test('a status of an earlier process from a later clock is overtaken', t => {
  const {announcer, fleetView} = createAnnouncer(1_000);
  announcer.announce('serving');
  fleetView.mergeStatuses([
    {hostName: 'a-1', incarnationMillis: 5_000, sequence: 7, phase: 'stopped'},
  ]);
  t.is(announcer.current()?.phase, 'serving');
  t.is(announcer.current()?.incarnationMillis, 5_001);
});

/*
 * Symptom: control traffic grows without end.
 * Events: two hosts have the same name in their settings; each overtakes the
 * other's status, and every step is flooded.
 * Cause: a correction without a bound.
 */
test('a contest for one name ends', t => {
  const {announcer, fleetView, metrics} = createAnnouncer(1_000);
  announcer.announce('serving');
  for (let round = 1; round <= 40; round += 1) {
    fleetView.mergeStatuses([
      {
        hostName: 'a-1',
        incarnationMillis: 10_000 * round,
        sequence: 1,
        phase: 'serving',
      },
    ]);
  }
  t.is(metrics.countOf('fleet.own_status_contested'), 40);
  t.true((announcer.current()?.sequence ?? 0) < 40);
});

test('phases of one process follow each other by sequence', t => {
  const {announcer, fleetView} = createAnnouncer(1_000);
  const news: string[] = [];
  fleetView.onDidLearnStatuses(statuses => {
    news.push(...statuses.map(status => status.phase));
  });
  announcer.announce('serving');
  announcer.announce('draining');
  announcer.announce('stopped');
  t.deepEqual(news, ['serving', 'draining', 'stopped']);
});
