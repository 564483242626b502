import test from 'ava';
import {sameZoneAllowanceMillis} from '../../../../src/process/placement/zone_preference.js';

test('what has time stays near, what is pressed goes where it is in time', t => {
  // A read of 1.5 s that takes 0.25 s next door, and an order of 0.3 s that
  // takes 0.18 s there.
  t.is(
    sameZoneAllowanceMillis({
      objectiveMillis: 1500,
      expectedMillis: 250,
      busyRatio: 0,
    }),
    150,
  );
  t.is(
    sameZoneAllowanceMillis({
      objectiveMillis: 300,
      expectedMillis: 180,
      busyRatio: 0,
    }),
    0,
  );
});

test('an upstream whose slots are taken is no nearer than another', t => {
  const at = (busyRatio: number): number =>
    sameZoneAllowanceMillis({
      objectiveMillis: 1500,
      expectedMillis: 250,
      busyRatio,
    });
  t.is(at(0.5), 75);
  t.is(at(1), 0);
  t.is(at(3), 0);
});
