/**
 * Placement chooser of one node in zone a, on a clock that the test advances.
 */
import {createLoadTable} from '../../src/process/admission/load_table.js';
import {createUpstreamDirectory} from '../../src/process/membership/upstream_directory.js';
import {createPlacementChooser} from '../../src/process/placement/placement.js';

/** Creates a chooser with an empty upstream directory. */
export function createPlacementNode(random: () => number) {
  let now = 10_000;
  const nowMillis = (): number => now;
  const loadTable = createLoadTable(nowMillis);
  const directory = createUpstreamDirectory({
    nowMillis,
    onChange: () => undefined,
  });
  const chooser = createPlacementChooser({
    directory,
    loadTable,
    hostKey: '10.0.0.9:80',
    zone: 'zone-a',
    region: 'region',
    nowMillis,
    random,
  });
  return {
    loadTable,
    directory,
    chooser,
    nowMillis,
    advance: (millis: number) => {
      now += millis;
    },
  };
}
