import test from 'ava';
import {createAttemptHistory} from '../../../../src/process/retries/attempt_history.js';

test('after rejections by all upstreams they are tried again, a bounded number of times', t => {
  // Load: two upstreams that reject half of the requests they receive.
  const history = createAttemptHistory();
  let offersCount = 0;
  while (history.canOffer) {
    const id = ['a', 'b'].find(each => !history.excludedIds.has(each));
    if (id === undefined) {
      t.true(history.readmitRejectingUpstreams());
      continue;
    }
    history.begin(id);
    history.end('rejected');
    offersCount += 1;
  }
  t.is(offersCount, 8);
  t.is(history.ranCount, 0);
  t.is(history.deliveredCount, 8);
});

test('an upstream that may have run it, or has no capacity, is not tried again', t => {
  const history = createAttemptHistory();
  for (const [id, outcome] of [
    ['a', 'ran'],
    ['b', 'full'],
  ] as const) {
    history.begin(id);
    history.end(outcome);
  }
  t.false(history.readmitRejectingUpstreams());
  t.deepEqual([...history.excludedIds], ['a', 'b']);
});

test('a service is full after three refusals for load', t => {
  const history = createAttemptHistory();
  for (const id of ['a', 'b', 'c']) {
    t.true(history.canOffer);
    history.begin(id);
    history.end('full');
  }
  t.false(history.canOffer);
});
