import test from 'ava';
import {createCallTreeProbes} from '../../../../src/process/admission/call_tree_probes.js';

const TARGET = {routeName: 'route', service: 'desk'};

/** Offers a request every 10 ms for 12 s; returns when probes were admitted. */
function replaySeconds(services: readonly string[]): readonly number[] {
  let now = 0;
  const probes = createCallTreeProbes(() => now);
  const admittedMillis: number[] = [];
  for (; now < 12_000; now += 10) {
    for (const service of services) {
      if (probes.tryProbe({...TARGET, service})) admittedMillis.push(now);
    }
  }
  return admittedMillis;
}

test('a rejected route gets one probe in each interval', t => {
  // Guards against a route that is refused for ever, and against probes that cost the
  // services above a missing one as much as the requests that are refused.
  t.deepEqual(replaySeconds(['desk']), [0, 4000, 8000]);
});

test('each service that a route leads to gets probes of its own', t => {
  t.deepEqual(
    replaySeconds(['desk', 'desk-next']),
    [0, 0, 4000, 4000, 8000, 8000],
  );
});
