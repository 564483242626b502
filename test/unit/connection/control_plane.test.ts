/**
 * Ownership of what the control side opens.
 */
import test from 'ava';
import type {Disposable} from '../../../src/base/lifecycle.js';
import {setDisposableTracker} from '../../../src/base/lifecycle.js';
import {startControlNode} from '../../fakes/control_nodes.js';
import {createPolicyBytes} from '../../fakes/policy_documents.js';
import {waitUntil} from '../../fakes/wait_until.js';

/*
 * Symptom: a process that was told to stop does not end, or a test does not.
 * Events: nodes exchange documents and are stopped.
 * Cause: a listener, timer or connection without an owner.
 */
test.serial('nothing stays open after nodes are stopped', async t => {
  const open = new Set<Disposable>();
  setDisposableTracker({
    track: disposable => open.add(disposable),
    markDisposed: disposable => open.delete(disposable),
  });
  t.teardown(() => {
    setDisposableTracker(undefined);
  });
  const socketsBefore = countSockets();
  const peer = await startControlNode({
    hostName: 'peer',
    policy: createPolicyBytes(3),
  });
  const node = await startControlNode({
    hostName: 'node',
    seedPeers: [peer.seed],
  });
  await waitUntil(
    'the version',
    () => node.policyStore.newest()?.version === 3,
  );
  t.true(open.size > 0);
  node.stop();
  peer.stop();
  await waitUntil('sockets closed', () => countSockets() <= socketsBefore);
  t.is(open.size, 0);
});

/** Sockets and listeners that the process holds. */
function countSockets(): number {
  return process.getActiveResourcesInfo().filter(name => name.startsWith('TCP'))
    .length;
}
