import test from 'ava';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';
import {createPlacementChooser} from '../../../../src/process/placement/placement.js';
import {createRelativeSlowness} from '../../../../src/process/placement/relative_slowness.js';
import {createUpstreamDirectory} from '../../../../src/process/membership/upstream_directory.js';
import {upstreamEntry} from '../../../fakes/route_documents.js';

const SHORT_MILLIS = 40;
const LONG_MILLIS = 640;

test('an upstream that received the long requests is not idle while another one is full', t => {
  // Guards against a service that sheds a third of its requests for ten seconds
  // after a fleet restart, while one of its two upstreams uses 1 of 17 slots
  // and the other has a queue. The first responses of one upstream were those
  // of long requests: its mean time was 330 ms, that of the other 40 ms, so all
  // short calls went to the other, and the mean of the first never fell. The
  // mean depends on the requests that an upstream receives, not only on its
  // speed.
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

test('an upstream that takes twice as long as usual has a ratio of 2', t => {
  const slowness = createRelativeSlowness();
  for (let index = 0; index < 4; index += 1) slowness.observe(80, 40);
  t.is(slowness.ratio(), undefined);
  slowness.observe(80, 40);
  t.is(slowness.ratio(), 2);
});
