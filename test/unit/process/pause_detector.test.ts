/**
 * Pauses of the process as seen on the two clocks.
 */
import test from 'ava';
import {
  createPauseDetector,
  PAUSE_THRESHOLD_MILLIS,
  PAUSE_TICK_MILLIS,
} from '../../../src/process/pause_detector.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import type {ManualTimeSource} from '../../fakes/manual_time_source.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const LATE_MILLIS = PAUSE_TICK_MILLIS + PAUSE_THRESHOLD_MILLIS;

/*
 * Symptom: a process acts on a picture of the fleet that is minutes old.
 * Events: it is stopped or its machine suspended, and wakes up; work that was
 * due in between runs first.
 * Cause: nothing compares the clocks before that work.
 */
const CASES: readonly {
  readonly title: string;
  readonly pass: (time: ManualTimeSource) => void;
  readonly pausedMillis: number | undefined;
}[] = [
  {
    title: 'a tick in time is no pause',
    pass: time => {
      time.advance(PAUSE_TICK_MILLIS);
    },
    pausedMillis: undefined,
  },
  {
    title: 'a busy moment is no pause',
    pass: time => {
      time.advance(LATE_MILLIS - 1);
    },
    pausedMillis: undefined,
  },
  {
    title: 'a stopped process shows on both clocks',
    pass: time => {
      time.advance(LATE_MILLIS);
    },
    pausedMillis: PAUSE_THRESHOLD_MILLIS,
  },
  {
    title: 'a suspended machine shows on the wall clock alone',
    pass: time => {
      time.stepWall(60_000 + PAUSE_TICK_MILLIS);
    },
    pausedMillis: 60_000,
  },
  {
    title: 'a clock set back is no pause',
    pass: time => {
      time.stepWall(-60_000);
    },
    pausedMillis: undefined,
  },
];

for (const {title, pass, pausedMillis} of CASES) {
  test(title, t => {
    const time = createManualTimeSource();
    const metrics = createCountingMetrics();
    const detector = createPauseDetector({time, metrics});
    const pauses: number[] = [];
    detector.onDidResume(pause => pauses.push(pause.pausedMillis));
    pass(time);
    t.is(detector.check(), pausedMillis !== undefined);
    t.false(detector.check());
    t.deepEqual(pauses, pausedMillis === undefined ? [] : [pausedMillis]);
    detector.dispose();
  });
}
