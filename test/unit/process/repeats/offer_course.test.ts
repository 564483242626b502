import test from 'ava';
import {createOfferCourse} from '../../../../src/process/repeats/offer_course.js';

test('who is rejected by all asks them again, a bounded number of times', t => {
  // Load: two upstreams that reject half of what they are handed.
  const course = createOfferCourse();
  let offersCount = 0;
  while (course.mayOffer) {
    const id = ['a', 'b'].find(each => !course.excludedIds.has(each));
    if (id === undefined) {
      t.true(course.readmitRejecting());
      continue;
    }
    course.begin(id);
    course.end('rejected');
    offersCount += 1;
  }
  t.is(offersCount, 8);
  t.is(course.ranCount, 0);
  t.is(course.handedCount, 8);
});

test('one that may have run it, or has no room, is not asked again', t => {
  const course = createOfferCourse();
  for (const [id, end] of [
    ['a', 'ran'],
    ['b', 'full'],
  ] as const) {
    course.begin(id);
    course.end(end);
  }
  t.false(course.readmitRejecting());
  t.deepEqual([...course.excludedIds], ['a', 'b']);
});

test('a service is full after three refusals for load', t => {
  const course = createOfferCourse();
  for (const id of ['a', 'b', 'c']) {
    t.true(course.mayOffer);
    course.begin(id);
    course.end('full');
  }
  t.false(course.mayOffer);
});
