/**
 * Spreading of versions, lists and phases between nodes, and its faults.
 */
import test from 'ava';
import type {ExecutionContext} from 'ava';
import * as Effect from 'effect/Effect';
import {createFaultyLink} from '../../src/emulator/faulty_link.js';
import type {ControlNode, ControlNodeOptions} from '../fakes/control_nodes.js';
import {createHostListBytes, startControlNode} from '../fakes/control_nodes.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import {waitUntil} from '../fakes/wait_until.js';

/** Inbound streams a node accepts at the peer counts of these tests. */
const INBOUND_COUNT = 16;

async function startNode(
  t: ExecutionContext,
  options: ControlNodeOptions,
): Promise<ControlNode> {
  const node = await startControlNode(options);
  t.teardown(() => {
    node.stop();
  });
  return node;
}

/*
 * Symptom: a host that leaves or a new version is known in parts of the fleet.
 * Events: nodes know only one seed at first; the list, a policy and a drain
 * each become known to one node.
 * Cause: something that is told to direct peers only.
 */
test('a list, a policy and phases known to one node reach all', async t => {
  const first = await startNode(t, {hostName: 'a-1'});
  const nodes = [first];
  for (const hostName of ['a-2', 'a-3', 'b-1', 'b-2', 'c-1']) {
    const availabilityZone = `zone-${hostName.charAt(0)}`;
    const seedPeers = [first.seed];
    nodes.push(await startNode(t, {hostName, availabilityZone, seedPeers}));
  }
  const list = createHostListBytes(
    4,
    nodes.map(({hostName, port}) => ({
      hostName,
      port,
      availabilityZone: `zone-${hostName.charAt(0)}`,
    })),
  );
  nodes[4]?.fleetView.offerList(list, 'test');
  nodes[2]?.policyStore.offer(createPolicyBytes(3), 'test');
  await waitUntil('list and policy on all', () =>
    nodes.every(
      node =>
        node.policyStore.newest()?.version === 3 &&
        node.fleetView.listRevision() === 4,
    ),
  );
  for (const node of nodes) {
    // A fetch that timed out on a busy machine is repeated; any other further
    // pull would have ended with a document that is held already.
    const pullsCount = node.count('control.pulls');
    const failuresCount = node.count('control.pulls', {result: 'failed'});
    t.true(pullsCount - failuresCount <= 2, 'each document is pulled once');
    await Effect.runPromise(node.plane.announce('serving'));
  }
  await waitUntil('all serving', () =>
    nodes.every(node => node.fleetView.statuses().length === nodes.length),
  );
  await Effect.runPromise(first.plane.announce('draining'));
  await waitUntil('the drain on all', () =>
    nodes.every(node => node.fleetView.host('a-1')?.acceptsNewWork === false),
  );
  const digests = new Set(nodes.map(node => node.fleetView.statusDigest()));
  t.is(digests.size, 1);
});

/*
 * Symptom: a host that stops still gets work until others notice by failures.
 * Events: it announces its drain and ends at once.
 * Cause: an announcement that returns before it has left the process.
 */
test('an announcement has reached the peers when it returns', async t => {
  const node = await startNode(t, {hostName: 'node'});
  const peers: ControlNode[] = [];
  for (const hostName of ['p-1', 'p-2', 'p-3']) {
    const seedPeers = [node.seed];
    peers.push(await startNode(t, {hostName, seedPeers}));
  }
  const list = createHostListBytes(1, [node, ...peers]);
  node.fleetView.offerList(list, 'test');
  await Effect.runPromise(node.plane.announce('serving'));
  await waitUntil('one picture', () =>
    peers.every(
      peer => peer.fleetView.host('node')?.status?.phase === 'serving',
    ),
  );
  await Effect.runPromise(node.plane.announce('draining'));
  node.stop();
  for (const peer of peers) {
    t.is(peer.fleetView.host('node')?.status?.phase, 'draining');
  }
});

/*
 * Symptom: a node hears nothing of a peer for good although both are well.
 * Events: something between the two forgets their open connections, which go
 * silent without an error; new connections work.
 * Cause: a stream or a call that waits on the old connection.
 */
test('silent connections are replaced by fresh ones', async t => {
  const peer = await startNode(t, {hostName: 'peer'});
  const link = await createFaultyLink({targetPort: peer.port});
  t.teardown(() => {
    link.close();
  });
  const seed = {...peer.seed, controlPort: link.port};
  const node = await startNode(t, {
    hostName: 'node',
    seedPeers: [seed],
    control: {peerSilenceMillis: 500},
  });
  const call = async (timeoutMillis: number): Promise<string> => {
    const fetch = node.client.fetchPolicy(seed, 0, timeoutMillis);
    return (await Effect.runPromise(Effect.exit(fetch)))._tag;
  };
  await waitUntil(
    'a stream',
    () => node.count('control.messages_received') > 1,
  );
  t.is(await call(10_000), 'Success');
  t.true(link.forgetOpenConnections() > 0);
  t.is(await call(300), 'Failure');
  t.is(await call(10_000), 'Success');
  await waitUntil('silence', () => node.count('control.links_silent') > 0);
  peer.policyStore.offer(createPolicyBytes(3), 'test');
  await waitUntil(
    'the version over a new stream',
    () => node.policyStore.newest()?.version === 3,
  );
});

/*
 * Symptom: one node carries the streams of a large part of the fleet.
 * Events: many nodes choose the same host, as in a zone with a single one.
 * Cause: streams that are accepted without a bound.
 */
test('streams beyond the bound are refused, those within it go on', async t => {
  const node = await startNode(t, {hostName: 'node'});
  const opened: ControlNode[] = [];
  for (let index = 0; index < INBOUND_COUNT + 1; index += 1) {
    const hostName = `p-${String(index)}`;
    const seedPeers = [node.seed];
    opened.push(await startNode(t, {hostName, seedPeers}));
  }
  const refused = (): number => node.count('control.streams_refused');
  await waitUntil('a refusal', () => refused() > 0);
  node.policyStore.offer(createPolicyBytes(3), 'test');
  await waitUntil('the version at those within the bound', () => {
    const reached = opened.filter(
      peer => peer.policyStore.newest()?.version === 3,
    );
    return reached.length === INBOUND_COUNT;
  });
  t.true(refused() > 0);
});

/*
 * Symptom: after a partition a zone keeps an older version or misses a drain.
 * Events: two zones are cut off from each other; each gets on by itself; one
 * gets a new version and the other a drain; the cut heals.
 * Cause: news that are told once and not compared again.
 */
test('zones that are cut off go on and agree after the cut', async t => {
  const nodes = await Promise.all(
    ['a-1', 'a-2', 'b-1', 'b-2'].map(hostName => {
      const availabilityZone = `zone-${hostName.charAt(0)}`;
      const control = {peerSilenceMillis: 400};
      return startNode(t, {hostName, availabilityZone, control});
    }),
  );
  const links = await Promise.all(
    nodes.map(node => createFaultyLink({targetPort: node.port})),
  );
  t.teardown(async () => {
    await Promise.all(links.map(link => link.close()));
  });
  // Within a zone nodes reach each other directly, across zones by the links.
  const listFor = (zone: string): Uint8Array =>
    createHostListBytes(
      1,
      nodes.map(({hostName, port}, index) => ({
        hostName,
        port: hostName.startsWith(zone) ? port : (links[index]?.port ?? 0),
        availabilityZone: `zone-${hostName.charAt(0)}`,
      })),
    );
  for (const node of nodes) {
    node.fleetView.offerList(listFor(node.hostName.charAt(0)), 'test');
    await Effect.runPromise(node.plane.announce('serving'));
  }
  const [a1, a2, b1, b2] = nodes as [
    ControlNode,
    ControlNode,
    ControlNode,
    ControlNode,
  ];
  a1.policyStore.offer(createPolicyBytes(1), 'test');
  await waitUntil('one version before the cut', () =>
    nodes.every(node => node.policyStore.newest()?.version === 1),
  );
  for (const link of links) link.setDefaultMode('silent');
  await waitUntil('silence found', () =>
    nodes.some(node => node.count('control.links_silent') > 0),
  );
  a1.policyStore.offer(createPolicyBytes(2), 'test');
  await Effect.runPromise(b1.plane.announce('draining'));
  await waitUntil('news within the zones', () => {
    const isVersionHeld = a2.policyStore.newest()?.version === 2;
    return isVersionHeld && b2.fleetView.host('b-1')?.acceptsNewWork === false;
  });
  t.is(b2.policyStore.newest()?.version, 1);
  t.true(a2.fleetView.host('b-1')?.acceptsNewWork);
  for (const link of links) link.setDefaultMode('open');
  await waitUntil('one version and the drain everywhere', () =>
    nodes.every(
      node =>
        node.policyStore.newest()?.version === 2 &&
        node.fleetView.host('b-1')?.acceptsNewWork === false,
    ),
  );
  t.pass();
});
