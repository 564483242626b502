/**
 * What a refusal several services down does to the services above it.
 */
import {request as startRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {HEADER} from '../../src/protocol/headers.js';
import type {TestFleet} from '../fakes/in_process_fleet.js';
import {sendAsCaller, startTestFleet} from '../fakes/in_process_fleet.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import type {Script} from '../fakes/scripted_upstream.js';

const SERVICES = ['front', 'middle', 'deep'];
const PLACES = SERVICES.map(service => ({
  name: `${service}-1`,
  service,
  zone: 'za',
}));

const EJECTING_FAILURES_COUNT = 2;
const PAUSE_MILLIS = 10;

const POLICY = createPolicyBytes(1, draft => {
  const [service] = draft.services;
  const [, read] = service?.routes ?? [];
  if (service === undefined || read === undefined) return;
  // The entry lets only some requests of a refused route in; so few failures
  // must be enough to eject.
  draft.ejection.consecutiveFailuresCount = EJECTING_FAILURES_COUNT;
  draft.services = SERVICES.map(name => ({
    ...service,
    name,
    routes: [{...read, path: '/items', retryBound: 0}],
  }));
});

/** Executes a request by calling the next service; fails as that does. */
function callNext(service: string, localPort: number): Script {
  return (request, response) => {
    const headers = {
      host: service,
      [HEADER.context]: request.headers[HEADER.context] as string,
    };
    const options = {port: localPort, path: '/items', headers, agent: false};
    startRequest({host: '127.0.0.1', ...options}, answer => {
      answer.resume();
      response.statusCode = answer.statusCode === 200 ? 200 : 502;
      response.end();
    }).end();
  };
}

/** Runs with a deep upstream that says it has no room. */
async function withRefusingFleet(
  run: (fleet: TestFleet, send: () => Promise<number>) => Promise<void>,
): Promise<void> {
  const fleet = await startTestFleet(POLICY, PLACES);
  try {
    const localPort = (name: string) => fleet.host(name).path.localPort;
    fleet
      .host('front-1')
      .upstream.setScript(callNext('middle', localPort('front-1')));
    fleet
      .host('middle-1')
      .upstream.setScript(callNext('deep', localPort('middle-1')));
    fleet.host('deep-1').upstream.setScript((_request, response) => {
      response.writeHead(503, {[HEADER.upstreamOutcome]: 'not-run'}).end();
    });
    const port = fleet.host('deep-1').path.callerPort;
    await run(fleet, async () => {
      const path = '/items';
      return (await sendAsCaller({port, service: 'front', path})).statusCode;
    });
  } finally {
    await fleet.dispose();
  }
}

test('a host is not ejected for a refusal three services down', async t => {
  // Symptom: while a deep service sheds, healthy hosts above it are ejected.
  // Sequence: deep refuses, middle answers 502, front answers 502 in turn; the
  // entry takes front's for a failure of front's own.
  // Cause: an answer that tells a failure does not count as a failed call.
  await withRefusingFleet(async (fleet, send) => {
    const {executions} = fleet.host('front-1').upstream;
    let sentCount = 0;
    while (executions.length < 3 * EJECTING_FAILURES_COUNT) {
      await send();
      sentCount += 1;
      await sleep(PAUSE_MILLIS);
    }
    t.true(sentCount > executions.length, 'the entry refuses early');
    for (const host of fleet.hosts) {
      t.is(host.metrics.countOf('routing.ejected'), 0, host.name);
    }
  });
});
