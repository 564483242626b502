import test from 'ava';
import type {RemoteExecution} from '../../../src/connection/remote_execution.js';
import {createRemoteExecution} from '../../../src/connection/remote_execution.js';
import {ANY_SOURCE} from '../../../src/emulator/faulty_link.js';
import {createLoadTable} from '../../../src/process/admission/load_table.js';
import {createPeerPositions} from '../../../src/process/membership/peer_positions.js';
import type {UpstreamEntry} from '../../../src/process/membership/upstream_entry.js';
import {executionCall} from '../../fakes/execution_call.js';
import {createHopFixture, respondWith} from '../../fakes/hop_fixture.js';
import {waitUntil} from '../../fakes/wait_until.js';

const nowMillis = (): number => performance.now();

function createRemote(events: string[]): RemoteExecution {
  return createRemoteExecution({
    loadTable: createLoadTable(nowMillis),
    peerPositions: createPeerPositions(),
    nowMillis,
    onPeerLost: () => events.push('lost'),
    onPeerFound: () => events.push('found'),
    onCrashReport: () => undefined,
    onConnectionReplaced: () => undefined,
    onResent: () => undefined,
  });
}

function entryAt(port: number): UpstreamEntry {
  return {
    id: `u-${String(port)}`,
    bornMillis: undefined,
    sequenceNumber: undefined,
    service: 'calls',
    hostKey: '127.0.0.1',
    node: {address: '127.0.0.1', port},
    zone: 'zone-a',
    region: 'region',
    slotsCount: 1,
    isDraining: false,
    coldLeftMillis: 0,
  };
}

test('a node is avoided from its missed reply until it replies again', async t => {
  // Load: requests to a node behind a partition, beside a node that replies.
  const events: string[] = [];
  const {link} = await createHopFixture(t, async hop => {
    await hop.fetchBody();
    respondWith(hop, 'done');
  });
  const remote = createRemote(events);
  t.teardown(remote.dispose);
  const target = entryAt(link.port);
  const suspicions: string[] = [];
  const call = (): ReturnType<RemoteExecution['execute']> =>
    remote.execute(target, {
      ...executionCall(nowMillis()),
      onSuspected: cause => suspicions.push(cause),
    });
  t.is((await call()).kind, 'answered');
  t.false(remote.isLost(target));

  link.setMode(ANY_SOURCE, 'silent');
  const suspended = call();
  await waitUntil('lost', () => events.includes('lost'));
  t.deepEqual(suspicions, ['silent']);
  t.true(remote.isLost(target));
  // Entries are replaced with each heartbeat of their upstream.
  t.true(remote.isLost(entryAt(link.port)));
  t.false(remote.isLost(entryAt(1)));

  link.setMode(ANY_SOURCE, 'open');
  await waitUntil('found', () => events.includes('found'));
  t.false(remote.isLost(target));
  t.is((await suspended).kind, 'answered');
});
