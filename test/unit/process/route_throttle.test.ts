/**
 * Early refusal of requests that a deeper service refuses.
 */
import test from 'ava';
import type {ThrottledRoute} from '../../../src/process/route_throttle.js';
import {createRouteThrottle} from '../../../src/process/route_throttle.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const STEP_MILLIS = 10;

const ORDERS: ThrottledRoute = {
  service: 'desk',
  routeName: 'place-order',
  classIndex: 0,
};
const READS: ThrottledRoute = {
  service: 'desk',
  routeName: 'read',
  classIndex: 1,
};

/** Requests every 10 ms; those let in end at once as the test says. */
function createTraffic() {
  const time = createManualTimeSource();
  const startMillis = time.monotonicMillis();
  // A fixed sequence over [0, 1) keeps the counts the same in every run.
  let draw = 0;
  const throttle = createRouteThrottle(time, () => {
    draw = (draw + 0.37) % 1;
    return draw;
  });
  return (
    route: ThrottledRoute,
    count: number,
    isRefused: (entered: number, nowMillis: number) => boolean,
  ): number => {
    let enteredCount = 0;
    for (let index = 0; index < count; index += 1) {
      time.advance(STEP_MILLIS);
      if (!throttle.mayEnter(route)) continue;
      enteredCount += 1;
      const nowMillis = time.monotonicMillis() - startMillis;
      throttle.recordEnd(route, isRefused(enteredCount, nowMillis));
    }
    return enteredCount;
  };
}

test('all requests enter while none is refused', t => {
  const send = createTraffic();
  t.is(
    send(READS, 500, () => false),
    500,
  );
});

test('requests that a deep service always refuses hardly enter', t => {
  // Symptom: services work for requests that all fail further down.
  // Sequence: a service three hops down refuses a class; every request of the
  // class is executed by two services before it is refused.
  // Cause: only the neighbour of the overloaded service knows of its load.
  const send = createTraffic();
  const enteredCount = send(READS, 500, () => true);
  t.true(enteredCount > 0 && enteredCount < 50, String(enteredCount));
});

test('what a deep service has room for still enters, and all of it afterwards', t => {
  // The deep service serves one request in 40 ms; four times as many arrive.
  const send = createTraffic();
  let acceptedCount = 0;
  const duringCount = send(READS, 800, (_entered, nowMillis) => {
    if (nowMillis < 40 * acceptedCount) return true;
    acceptedCount += 1;
    return false;
  });
  t.true(acceptedCount > 0.8 * 200, `accepted ${String(acceptedCount)}`);
  t.true(duringCount < 1.5 * 200, `entered ${String(duringCount)}`);
  send(READS, 500, () => false);
  t.true(send(READS, 100, () => false) > 95);
});

test('a refused class does not enter while a more important one is refused', t => {
  // Symptom: background jobs are served while orders are refused.
  // Sequence: both need one overloaded service; orders are held back there, and
  // probes of the background find the room.
  // Cause: each route is throttled by its own success only.
  const send = createTraffic();
  send(READS, 20, () => true);
  send(ORDERS, 20, entered => entered % 2 === 0);
  t.is(
    send(READS, 10, () => false),
    0,
  );
});
