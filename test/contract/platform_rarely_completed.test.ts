import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import type {ReceivedRequest} from '../fakes/fake_upstream.js';
import type {FleetHost, PlatformFleet} from '../fakes/platform_fleet.js';
import {createPath, SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** Route whose upstream makes a call on `SAFE_PATH` for each request. */
const SHOP_PATH = createPath({name: 'r-3', prefix: '/shop/', service: 'shop'});

const REQUESTS_COUNT = 60;

/** Some times the time over which an entry node counts requests. */
const RECOVERY_MILLIS = 10_000;

const PAUSE_MILLIS = 20;

/** Answers a request of the shop with the status code of its call. */
async function answerAfterCall(
  fleet: PlatformFleet,
  shop: FleetHost,
  request: ReceivedRequest,
): Promise<void> {
  const attemptId = `${request.attemptId}.1`;
  const call = await fleet.send(shop, {attemptId, path: '/a/1'});
  const isServed = call.statusCode === 200;
  request.respond(isServed ? 200 : 500, 'answered');
}

test('requests whose calls are rejected are shed at the entry node until calls are served', async t => {
  // Guards against upstreams that work for requests which cannot complete, since
  // another service rejects their calls with free slots.
  const fleet = await startFleet(t, {
    services: ['entry', 'shop', 'orders'],
    paths: [SAFE_PATH, SHOP_PATH],
  });
  const [entry, shop, orders] = fleet.hosts;
  shop!.upstream.setHandler(request => {
    void answerAfterCall(fleet, shop!, request);
  });
  orders!.upstream.setHandler(request => {
    request.reject();
  });
  const send = async (index: number): Promise<number> => {
    const attemptId = `c${String(index)}`;
    const answer = await fleet.send(entry!, {attemptId, path: '/shop/1'});
    return answer.statusCode;
  };
  const statusCodes: number[] = [];
  for (let index = 0; index < REQUESTS_COUNT; index += 1) {
    statusCodes.push(await send(index));
  }
  const shedEvents = entry!.events.filter(
    ({event, fields}) =>
      event === 'shed' && fields['reason'] === 'rarely-completed',
  );
  t.true(shedEvents.length > 0);
  t.true(shop!.upstream.runIds.length < REQUESTS_COUNT / 2);
  t.deepEqual(new Set(statusCodes), new Set([500, 503]));

  orders!.upstream.setHandler(request => {
    request.respond(200, 'served');
  });
  const recoveredCodes: number[] = [];
  const untilMillis = Date.now() + RECOVERY_MILLIS;
  for (let index = 0; Date.now() < untilMillis; index += 1) {
    recoveredCodes.push(await send(REQUESTS_COUNT + index));
    if (recoveredCodes.slice(-20).filter(code => code === 200).length === 20) {
      break;
    }
    await sleep(PAUSE_MILLIS);
  }
  t.deepEqual(new Set(recoveredCodes.slice(-20)), new Set([200]));
});
