/**
 * Program: control nodes for another process to talk to, driven over IPC.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import type {ControlNode} from '../test/fakes/control_nodes.js';
import {startControlNode} from '../test/fakes/control_nodes.js';
import type {PeerCommand, PeerReply} from './capacity_peers.js';
import {readCpuMillis} from './capacity_memory.js';

const MILLIS_PER_SECOND = 1000;

const nodes: ControlNode[] = [];

async function start(count: number, heartbeatMillis: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    nodes.push(
      await startControlNode({
        hostName: `peer-${String(index)}`,
        // They only accept streams, so that all of them are the other side's.
        control: {
          ...DEFAULT_CONTROL,
          heartbeatMillis,
          zonePeersCount: 0,
          remotePeersCount: 0,
        },
      }),
    );
  }
}

/** Learns announcements as if they came from elsewhere; news go to all peers. */
async function learnStatuses(
  hostNames: readonly string[],
  ratePerSecond: number,
  durationMillis: number,
): Promise<void> {
  const endMillis = performance.now() + durationMillis;
  for (let sequence = 1; performance.now() < endMillis; sequence += 1) {
    const hostName = hostNames[sequence % hostNames.length] ?? '';
    nodes[0]?.fleetView.mergeStatuses([
      {hostName, incarnationMillis: Date.now(), sequence, phase: 'serving'},
    ]);
    await sleep(MILLIS_PER_SECOND / ratePerSecond);
  }
}

async function act(command: PeerCommand): Promise<PeerReply> {
  switch (command.kind) {
    case 'start':
      await start(command.count, command.heartbeatMillis);
      return {ports: nodes.map(node => node.port)};
    case 'list':
      for (const node of nodes) {
        node.fleetView.offerList(Buffer.from(command.list), 'bench');
      }
      return {};
    case 'policy':
      nodes[0]?.policyStore.offer(Buffer.from(command.policy), 'bench');
      return {};
    case 'statuses':
      await learnStatuses(
        command.hostNames,
        command.ratePerSecond,
        command.durationMillis,
      );
      return {};
    case 'usage':
      return {cpuMillis: readCpuMillis()};
  }
}

process.on('message', (command: PeerCommand) => {
  act(command).then(
    reply => process.send?.(reply),
    (error: unknown) => process.send?.({failure: String(error)}),
  );
});
process.on('disconnect', () => {
  process.exit();
});
