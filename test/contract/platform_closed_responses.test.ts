/**
 * Upstreams that send no length and close the connection normally within a long body.
 */
import test from 'ava';
import type {PipelinedOutcome} from '../fakes/pipelining_client.js';
import {connectPipeliningClient} from '../fakes/pipelining_client.js';
import {signatureOf} from '../fakes/fake_upstream.js';
import {SAFE_PATH} from '../fakes/platform_fleet.js';
import {startFleet} from '../fakes/test_fleet.js';

/** All longer than a response that is buffered before its request counts as answered. */
const SENT_BYTES = [70_000, 200_000, 600_000, 1_000_000];

const DELAYS_MILLIS = [0, 30];

for (const services of [['orders'], ['shop', 'orders']]) {
  for (const isSlow of [false, true]) {
    test(`a long response without a length ends as its upstream has ended it: ${services.join(', ')}, ${isSlow ? 'slow' : 'fast'} reader`, async t => {
      // Guards against a last chunk that presents part of a body as all of it.
      const fleet = await startFleet(t, {services, paths: [SAFE_PATH]});
      const [entry] = fleet.hosts;
      const {upstream} = fleet.hosts.at(-1)!;
      const outcomes: string[] = [];
      const expected: string[] = [];
      for (const sentBytes of SENT_BYTES) {
        for (const delayMillis of DELAYS_MILLIS) {
          upstream.setHandler(({attemptId, socket}) => {
            socket.write(
              `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\n` +
                `response-signature: ${signatureOf(upstream.id, attemptId)}\r\n\r\n`,
            );
            socket.write('x'.repeat(sentBytes));
            setTimeout(() => socket.end(), delayMillis);
          });
          const client = await connectPipeliningClient(
            entry!.address,
            fleet.outboundPort,
          );
          const attemptId = `r${String(outcomes.length)}`;
          const sent = client.send([{attemptId, method: 'GET', path: '/a/1'}]);
          if (isSlow) await client.pause(100);
          const [outcome] = await sent;
          outcomes.push(describe(outcome!));
          expected.push(`200 until-close ${String(sentBytes)}`);
        }
      }
      t.deepEqual(outcomes, expected);
    });
  }
}

function describe(outcome: PipelinedOutcome): string {
  if (outcome.kind !== 'answered') return outcome.kind;
  const {statusCode, form} = outcome.head;
  return `${String(statusCode)} ${form} ${String(outcome.body.length)}`;
}
