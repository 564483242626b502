import test from 'ava';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';
import {createPlacementChooser} from '../../../../src/process/placement/placement.js';
import {createRelativeSlowness} from '../../../../src/process/placement/relative_slowness.js';
import {createUpstreamDirectory} from '../../../../src/process/membership/upstream_directory.js';
import {upstreamEntry} from '../../../fakes/route_documents.js';

const SHORT_MILLIS = 40;
const LONG_MILLIS = 640;

test('an upstream that got the long requests is not left idle beside a full one', t => {
  // Symptom: for ten seconds after a fleet starts again, a service sheds a third
  // of its requests while one of its two upstreams has 1 of 17 slots in use, and
  // the other a queue. Sequence: the first answers of one upstream are those of
  // long requests; its mean time is 330 ms, the other's 40 ms; all short calls go
  // to the other, so that the mean of the first never falls. Cause: the mean says
  // what an upstream was given, not how fast it is.
  const slownessOf = (heldMillis: number): number => {
    const slowness = createRelativeSlowness();
    for (let index = 0; index < 20; index += 1) {
      slowness.observe(heldMillis, heldMillis);
    }
    return slowness.ratio()!;
  };
  const directory = createUpstreamDirectory({
    nowMillis: () => 1000,
    onChange: () => undefined,
  });
  const loadTable = createLoadTable(() => 1000);
  for (const [id, averageMillis, inFlightCount] of [
    ['idle', LONG_MILLIS / 2, 1],
    ['full', SHORT_MILLIS, 17],
  ] as const) {
    directory.put([
      upstreamEntry({id, hostKey: `${id}:1`, slotsCount: 18, zone: 'zone-b'}),
    ]);
    loadTable.observe({
      upstreamId: id,
      service: 'orders',
      inFlightCount,
      queuedCount: id === 'full' ? 4 : 0,
      limitCount: 17,
      averageMillis,
      level: 511,
      madeAtMillis: 1000,
      slownessRatio: slownessOf(id === 'idle' ? LONG_MILLIS : SHORT_MILLIS),
    });
  }
  const chooser = createPlacementChooser({
    directory,
    loadTable,
    hostKey: 'here',
    zone: 'zone-a',
    region: 'region',
    nowMillis: () => 1000,
    random: () => 0.5,
  });
  const chosen = chooser.choose('orders', new Set(), () => false, {
    objectiveMillis: 300,
    usualMillis: SHORT_MILLIS,
  });
  t.is(chosen?.upstream.entry.id, 'idle');
});

test('one that takes twice as long as usual is told to', t => {
  const slowness = createRelativeSlowness();
  for (let index = 0; index < 4; index += 1) slowness.observe(80, 40);
  t.is(slowness.ratio(), undefined);
  slowness.observe(80, 40);
  t.is(slowness.ratio(), 2);
});
