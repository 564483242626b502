/**
 * Start and stop of a whole node in this process.
 */
import {connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {createTimeSource} from '../../../src/base/time_source.js';
import type {DaemonNode} from '../../../src/daemon/daemon_node.js';
import {createNode} from '../../../src/daemon/node.js';
import {parseSettings} from '../../../src/process/settings_schema.js';
import {createStateDump} from '../../../src/process/state_dump.js';
import {createCountingMetrics} from '../../fakes/counting_metrics.js';
import {countLeaks} from '../../fakes/leak_tracker.js';
import {minimalSettings, settingsBytes} from '../../fakes/minimal_settings.js';
import {createSilentLogger} from '../../fakes/silent_logger.js';

/** A node whose platform is down and which has no peers. */
function createLonelyNode(
  replaced: Readonly<Record<string, unknown>> = {},
): DaemonNode {
  const parsed = parseSettings(settingsBytes(replaced));
  if (parsed.kind === 'invalid') throw new Error(JSON.stringify(parsed));
  return createNode({
    settings: parsed.settings,
    logger: createSilentLogger(),
    metrics: createCountingMetrics(),
    stateDump: createStateDump(),
    time: createTimeSource(),
  });
}

async function isOpen(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(port, '127.0.0.1');
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => {
      resolve(false);
    });
  });
}

test.serial(
  'a node that starts without platform and peers stops and leaves nothing',
  async t => {
    const leaksCount = await countLeaks(async () => {
      const node = createLonelyNode();
      const ports = await node.start();
      for (const port of Object.values(ports)) t.true(await isOpen(port));
      await node.stop();
      for (const port of Object.values(ports)) t.false(await isOpen(port));
    });
    t.is(leaksCount, 0);
  },
);

test.serial(
  'a node that cannot bind one address releases all others',
  async t => {
    // Symptom: after a failed start, the next one fails on other addresses too.
    // Sequence: the control port is taken by another process when the node, with
    // its other listeners open already, tries to bind it.
    // Cause: a failed start leaves what was opened before.
    const blocker = createServer();
    await new Promise<void>(resolve => {
      blocker.listen(0, '127.0.0.1', resolve);
    });
    const {port} = blocker.address() as AddressInfo;
    const {listen} = minimalSettings();
    const taken = {...listen, control: {address: '127.0.0.1', port}};
    const leaksCount = await countLeaks(async () => {
      const node = createLonelyNode({listen: taken});
      const error = await t.throwsAsync(node.start());
      t.regex(String(error?.message), new RegExp(String(port)));
    });
    t.is(leaksCount, 0);
    await new Promise(resolve => blocker.close(resolve));
  },
);
