import test from 'ava';
import {createWeightedTargets} from '../../../../src/process/placement/weighted_targets.js';
import {serviceRoute} from '../../../fakes/route_documents.js';

const SPLIT = serviceRoute({
  targets: [
    {service: 'orders', weightRatio: 90},
    {service: 'atlas', weightRatio: 10},
  ],
});

test('targets get their share of any short sequence of requests', t => {
  const targets = createWeightedTargets(() => 0.3);
  for (let run = 0; run < 20; run += 1) {
    const chosen = Array.from({length: 10}, () => targets.choose(SPLIT));
    t.is(chosen.filter(service => service === 'atlas').length, 1);
  }
});

test('nodes that start together do not all start with the same target', t => {
  // Guards against a target with a tenth of the weight that gets a burst after
  // each change of the configuration, because all nodes start at the same
  // position.
  const fractions = [0.05, 0.95, 0.5, 0.1];
  let index = 0;
  const firsts = new Set<string>();
  for (let node = 0; node < 2; node += 1) {
    const targets = createWeightedTargets(() => {
      index += 1;
      return fractions[index - 1] ?? 0.5;
    });
    firsts.add(targets.choose(SPLIT));
  }
  t.is(firsts.size, 2);
});

test('a target without weight gets no requests', t => {
  const targets = createWeightedTargets(() => 0.9);
  const route = serviceRoute({
    targets: [
      {service: 'orders', weightRatio: 1},
      {service: 'atlas', weightRatio: 0},
    ],
  });
  for (let index = 0; index < 20; index += 1) {
    t.is(targets.choose(route), 'orders');
  }
});
