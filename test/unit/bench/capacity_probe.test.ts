import test from 'ava';
import {computeOverlay} from '../../../bench/capacity_overlay.js';
import {computeElectorLoad} from '../../../bench/capacity_platform.js';
import {fitLine, medianOf} from '../../../bench/capacity_probe.js';

test('a line through points on a line is that line', t => {
  const {slope, intercept} = fitLine([
    [10, 25],
    [20, 45],
    [40, 85],
  ]);
  t.is(slope, 2);
  t.is(intercept, 5);
});

test('a median does not follow one disturbed repeat', t => {
  t.is(medianOf([3, 900, 4]), 4);
  t.is(medianOf([1, 2, 3, 10]), 2.5);
});

test('the overlay counts hops over the streams that hosts choose', t => {
  const overlay = computeOverlay(100, 'host');
  t.true(Number.isFinite(overlay.diameterHops));
  t.true(overlay.fromReadersHops <= overlay.fromOneRegionHops);
  t.true(overlay.fromOneRegionHops <= overlay.diameterHops);
  t.is(overlay.connectedWithoutZoneRatio, 1);
  // Three zone streams and a remote one each; both ends count a stream, and two
  // hosts that chose each other count once.
  t.true(overlay.meanStreamsCount > 4 && overlay.meanStreamsCount <= 8);
});

test('every host of a zone asks as many electors as a quorum lacks', t => {
  const load = computeElectorLoad();
  const electorsCount = 7;
  const asksCount = load.meanElectorAsksCount * electorsCount;
  // Five from each of 76 hosts, four from each of the seven electors.
  t.is(Math.round(asksCount), 76 * 5 + 7 * 4);
});
