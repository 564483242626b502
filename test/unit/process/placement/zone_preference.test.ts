import test from 'ava';
import {sameZoneAllowanceMillis} from '../../../../src/process/placement/zone_preference.js';

test('a request with time to spare stays in its zone, an urgent one does not', t => {
  // A read with an objective of 1.5 s that takes 0.25 s in its zone, and an
  // order with an objective of 0.3 s that takes 0.18 s there.
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

test('an upstream without free slots gets no allowance for its zone', t => {
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
