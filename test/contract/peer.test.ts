/**
 * Contract between the control sides of nodes, with faults of either.
 */
import {connect} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import * as Effect from 'effect/Effect';
import {createFaultyLink} from '../../src/emulator/faulty_link.js';
import {ControlService} from '../../src/protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ControlNode, ControlNodeOptions} from '../fakes/control_nodes.js';
import {createHostListBytes, startControlNode} from '../fakes/control_nodes.js';
import {createPolicyBytes} from '../fakes/policy_documents.js';
import type {PeerScript} from '../fakes/scripted_peer.js';
import {startScriptedPeer} from '../fakes/scripted_peer.js';
import {waitUntil} from '../fakes/wait_until.js';

const OVERSIZED = new Uint8Array(2_000_000);

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

interface PeerFault {
  readonly title: string;
  readonly script: PeerScript;
  /** Counter that shows the fault, with the tags that name it. */
  readonly counter: string;
  readonly tags?: Readonly<Record<string, string>>;
  /** Fetches of the policy at the faulty peer; any number when left out. */
  readonly fetchesCount?: number;
}

/*
 * Symptom: a node follows a faulty peer, or stops following the healthy ones.
 * Events: of two seeds one behaves as in the table; the healthy one then gets a
 * new version.
 * Cause: a message of one peer that is believed unchecked, or whose failure
 * reaches beyond its own stream.
 */
const PEER_FAULTS: readonly PeerFault[] = [
  {
    title: 'speaks another protocol version',
    script: {protocolVersion: 2, view: {policyVersion: 9}},
    counter: 'control.hellos_refused',
    tags: {reason: 'protocol-version'},
    fetchesCount: 0,
  },
  {
    title: 'belongs to another deployment',
    script: {deployment: 'elsewhere', view: {policyVersion: 9}},
    counter: 'control.hellos_refused',
    tags: {reason: 'deployment'},
    fetchesCount: 0,
  },
  {
    title: 'does not begin with a hello',
    script: {isHelloMissing: true, view: {policyVersion: 9}},
    counter: 'control.hellos_refused',
    tags: {reason: 'not-hello'},
    fetchesCount: 0,
  },
  {
    title: 'goes silent',
    script: {isSilent: true},
    counter: 'control.links_silent',
  },
  {
    title: 'breaks off within a document',
    script: {
      view: {policyVersion: 9, policyDigest: 9n},
      fetchPolicy: breakOff => {
        setImmediate(breakOff);
        return OVERSIZED.subarray(0, 900_000);
      },
    },
    counter: 'control.pulls',
    tags: {kind: 'policy', result: 'failed'},
  },
  {
    title: 'sends an oversized document',
    script: {
      view: {policyVersion: 9, policyDigest: 9n},
      fetchPolicy: () => OVERSIZED,
    },
    counter: 'control.pulls',
    tags: {kind: 'policy', result: 'failed'},
  },
  {
    title: 'announces a version that it does not give out',
    script: {view: {policyVersion: 9, policyDigest: 9n}},
    counter: 'control.pulls',
    tags: {kind: 'policy', result: 'empty'},
  },
  {
    title: 'offers an invalid document, which is pulled once',
    script: {
      view: {policyVersion: 9, policyDigest: 9n},
      fetchPolicy: () => createPolicyBytes(9).slice(0, -20),
    },
    counter: 'control.pulls',
    tags: {kind: 'policy', result: 'invalid'},
    fetchesCount: 1,
  },
  {
    title: 'offers an older version under a newer number, which is pulled once',
    script: {
      view: {policyVersion: 9, policyDigest: 9n},
      fetchPolicy: () => createPolicyBytes(2),
    },
    counter: 'control.pulls',
    tags: {kind: 'policy', result: 'older'},
    fetchesCount: 1,
  },
  {
    title: 'holds another document of the same version, told once',
    script: {view: {policyVersion: 3, policyDigest: 3n}},
    counter: 'control.version_conflicts',
    tags: {kind: 'policy'},
    fetchesCount: 0,
  },
  {
    title: 'holds an older version',
    script: {view: {policyVersion: 2, policyDigest: 2n}},
    counter: 'control.messages_received',
    tags: {kind: 'heartbeat'},
    fetchesCount: 0,
  },
];

for (const fault of PEER_FAULTS) {
  test(`a peer that ${fault.title} affects nobody else`, async t => {
    const peer = await startScriptedPeer('faulty', fault.script);
    t.teardown(peer.stop);
    const policy = createPolicyBytes(3);
    const healthy = await startNode(t, {hostName: 'healthy', policy});
    const node = await startNode(t, {
      hostName: 'node',
      policy,
      seedPeers: [peer.seed, healthy.seed],
      control: {peerSilenceMillis: 500},
    });
    await waitUntil(
      fault.counter,
      () => node.count(fault.counter, fault.tags) > 0,
    );
    healthy.policyStore.offer(createPolicyBytes(5), 'test');
    await waitUntil(
      'the version of the healthy peer',
      () => node.policyStore.newest()?.version === 5,
    );
    if (fault.fetchesCount !== undefined) {
      t.is(peer.fetchesCount(), fault.fetchesCount);
    }
    if (fault.counter === 'control.version_conflicts') {
      t.is(node.count(fault.counter), 1);
    }
    t.pass();
  });
}

interface CallerFault {
  readonly title: string;
  readonly protocolVersion: string;
  readonly deployment: string;
  readonly reason: string;
}

const CALLER_FAULTS: readonly CallerFault[] = [
  {
    title: 'another protocol version',
    protocolVersion: '2',
    deployment: '',
    reason: 'protocol-version',
  },
  {
    title: 'no protocol version',
    protocolVersion: '',
    deployment: '',
    reason: 'protocol-version',
  },
  {
    title: 'another deployment',
    protocolVersion: '1',
    deployment: 'elsewhere',
    reason: 'deployment',
  },
];

/*
 * Symptom: nodes of two releases or two deployments mix their state.
 * Events: such a node calls this one, for instance after its address was given
 * to another deployment.
 * Cause: a call that is answered before it is known who asks.
 */
for (const fault of CALLER_FAULTS) {
  test(`a caller with ${fault.title} is refused with the reason`, async t => {
    const policy = createPolicyBytes(3);
    const node = await startNode(t, {hostName: 'node', policy});
    const client = createClient(
      ControlService,
      createConnectTransport({
        baseUrl: `http://127.0.0.1:${String(node.port)}`,
        httpVersion: '2',
        idleConnectionTimeoutMs: 1,
      }),
    );
    const headers = {
      'fulmarhollow-control-protocol': fault.protocolVersion,
      'fulmarhollow-deployment': fault.deployment,
    };
    const error = await t.throwsAsync(() => client.fetchPolicy({}, {headers}));
    t.regex(error.message, new RegExp(`Refused for ${fault.reason}`));
    t.is(node.count('control.calls_refused', {reason: fault.reason}), 1);
    t.is(node.count('control.calls_refused'), 1);
  });
}

/*
 * Symptom: a control listener dies or stops answering.
 * Events: something that is no peer connects and sends other bytes.
 * Cause: a session error that nobody handles.
 */
test('bytes that are no HTTP/2 end only their own connection', async t => {
  const node = await startNode(t, {hostName: 'node'});
  const socket = connect(node.port, '127.0.0.1');
  t.teardown(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\nHost: node\r\n\r\n'.repeat(100));
  await waitUntil('the error', () => node.count('control.session_errors') > 0);
  const other = await startNode(t, {hostName: 'other', seedPeers: [node.seed]});
  other.policyStore.offer(createPolicyBytes(3), 'test');
  await waitUntil(
    'the version from a peer',
    () => node.policyStore.newest()?.version === 3,
  );
  t.pass();
});

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
    t.true(node.count('control.pulls') <= 2, 'each document is pulled once');
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
test('an announcement has left for the peers when it returns', async t => {
  const node = await startNode(t, {hostName: 'node'});
  const peers: ControlNode[] = [];
  for (const hostName of ['p-1', 'p-2', 'p-3']) {
    const seedPeers = [node.seed];
    peers.push(await startNode(t, {hostName, seedPeers}));
  }
  await waitUntil('links', () => node.count('control.messages_received') >= 6);
  const news: string[] = [];
  for (const peer of peers) {
    peer.fleetView.onDidLearnStatuses(statuses => {
      news.push(
        ...statuses.map(status => `${status.hostName} ${status.phase}`),
      );
    });
  }
  await Effect.runPromise(node.plane.announce('draining'));
  node.stop();
  await waitUntil('the news', () => news.length >= 3);
  t.deepEqual(news, Array(3).fill('node draining'));
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
