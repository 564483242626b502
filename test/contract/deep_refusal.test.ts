/**
 * What a refusal several services down does to the services above it.
 */
import {request as startRequest} from 'node:http';
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

const POLICY = createPolicyBytes(1, draft => {
  const [service] = draft.services;
  const [, read] = service?.routes ?? [];
  if (service === undefined || read === undefined) return;
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
    for (let i = 0; i < 20; i += 1) await send();
    t.is(fleet.host('front-1').upstream.executions.length, 20);
    for (const host of fleet.hosts) {
      t.is(host.metrics.countOf('routing.ejected'), 0, host.name);
    }
  });
});
