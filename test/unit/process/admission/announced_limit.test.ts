import test from 'ava';
import {createAnnouncedLimit} from '../../../../src/process/admission/announced_limit.js';

test('a limit applies until a later request is answered without it', t => {
  const limit = createAnnouncedLimit(() => 0);
  t.is(limit.perSecond, undefined);
  t.true(limit.observe(5, 100));
  t.false(limit.observe(5, 200));
  t.true(limit.observe(7.5, 300));
  t.is(limit.perSecond, 7.5);
  t.true(limit.observe(undefined, 400));
  t.is(limit.perSecond, undefined);
});

test('a long request from before the limit does not end it', t => {
  // Guards against a limit that alternates with none while requests that were sent before
  // it are answered late.
  const limit = createAnnouncedLimit(() => 0);
  limit.observe(5, 1000);
  t.false(limit.observe(undefined, 400));
  t.is(limit.perSecond, 5);
  limit.observe(undefined, 1500);
  t.false(limit.observe(5, 1200));
  t.is(limit.perSecond, undefined);
});
