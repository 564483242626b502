/**
 * Roles of nodes towards the platform.
 */
import test from 'ava';
import {createEmitter} from '../../../src/base/event.js';
import {createReaderRoleTracker} from '../../../src/connection/reader_role.js';
import {createFleetView} from '../../../src/process/in_memory_fleet_view.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {createSilentLogger} from '../../fakes/silent_logger.js';

test('a node with peers but no host list reads the platform itself', t => {
  // Symptom: a fleet that started together had a policy and no host list for
  // half a minute, and served nothing.
  // Sequence: one node read the policy, all opened streams to one another, and
  // each, having peers and no election to win, relied on the others' reading.
  // Cause: readers are elected from the list, and without it there are none.
  const metrics = createCountingMetrics();
  const links = createEmitter<number>();
  const fleetView = createFleetView({time: createManualTimeSource(), metrics});
  const tracker = createReaderRoleTracker({
    own: {hostName: 'desk-1', availabilityZone: 'za', region: 'north'},
    zoneReadersCount: 1,
    fleetView,
    metrics,
    logger: createSilentLogger(),
    openLinksCount: () => 3,
    onDidChangeLinks: links.event,
  });
  t.is(tracker.role(), 'isolated');
  links.fire(3);
  t.is(tracker.role(), 'isolated');
  tracker.dispose();
});
