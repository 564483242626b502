import test from 'ava';
import {createLeavingUpstreams} from '../../../../src/process/membership/leaving_upstreams.js';

test('the record of leaving upstreams is bounded and keeps the latest ones', t => {
  // Guards against memory that grows with each release of a service.
  const leaving = createLeavingUpstreams();
  for (let index = 0; index < 3000; index += 1) {
    t.true(leaving.add(`u-${String(index)}`));
  }
  t.false(leaving.add('u-2999'));
  t.false(leaving.has('u-0'));
  t.true(leaving.has('u-1976'));
  leaving.delete('u-2999');
  t.false(leaving.has('u-2999'));
});
