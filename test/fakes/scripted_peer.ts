/**
 * A peer whose answers a test decides.
 */
import type {ServerHttp2Session} from 'node:http2';
import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import type {ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {SeedPeer} from '../../src/process/settings.js';
import type {PeerView} from '../../src/connection/control_codec.js';
import {
  createHeartbeat,
  createHello,
} from '../../src/connection/control_codec.js';
import type {ControlMessage} from '../../src/protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  ControlMessageSchema,
  ControlService,
} from '../../src/protocol/gen/fulmarhollow/control/v1/control_pb.js';

const HEARTBEAT_MILLIS = 20;

/** What the peer claims to hold when it claims nothing. */
export const EMPTY_VIEW: PeerView = {
  policyVersion: 0,
  policyDigest: 0n,
  listRevision: 0,
  listDigest: 0n,
  statusDigest: 0n,
  platformAgeMillis: undefined,
};

/** Deviations from a peer that behaves. */
export interface PeerScript {
  readonly protocolVersion?: number;
  readonly deployment?: string;
  /** What the peer claims to hold. */
  readonly view?: Partial<PeerView>;
  /** Sends another message in place of the hello. */
  readonly isHelloMissing?: boolean;
  /** Says hello and then nothing, on a connection that stays open. */
  readonly isSilent?: boolean;
  /** Answers a fetch of the policy; `breakOff` cuts the connection. */
  readonly fetchPolicy?: (breakOff: () => void) => Uint8Array;
}

/** A listening peer. */
export interface ScriptedPeer {
  readonly seed: SeedPeer;
  /** Streams that were opened to it. */
  openedCount(): number;
  fetchesCount(): number;
  stop(): void;
}

/** Starts a peer on loopback. */
export async function startScriptedPeer(
  hostName: string,
  script: PeerScript,
): Promise<ScriptedPeer> {
  const sessions = new Set<ServerHttp2Session>();
  let openedCount = 0;
  let fetchesCount = 0;
  const breakOff = (): void => {
    for (const session of sessions) session.destroy();
  };
  const service: Partial<ServiceImpl<typeof ControlService>> = {
    exchange: (_, context) => {
      openedCount += 1;
      return converse(hostName, script, context.signal);
    },
    fetchPolicy: () => {
      fetchesCount += 1;
      const document = script.fetchPolicy?.(breakOff) ?? new Uint8Array();
      return {document, version: BigInt(script.view?.policyVersion ?? 0)};
    },
  };
  const server = createServer(
    connectNodeAdapter({
      routes: router => router.service(ControlService, service),
    }),
  );
  server.on('session', session => sessions.add(session));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const controlPort = (server.address() as AddressInfo).port;
  return {
    seed: {hostName, address: '127.0.0.1', controlPort},
    openedCount: () => openedCount,
    fetchesCount: () => fetchesCount,
    stop: () => {
      server.close();
      breakOff();
    },
  };
}

async function* converse(
  hostName: string,
  script: PeerScript,
  signal: AbortSignal,
): AsyncGenerator<ControlMessage> {
  const view = {...EMPTY_VIEW, ...script.view};
  if (script.isHelloMissing === true) yield create(ControlMessageSchema, {});
  yield createHello({
    protocolVersion: script.protocolVersion ?? 1,
    deployment: script.deployment ?? '',
    hostName,
    controlAddress: '',
    controlPort: 0,
    view,
  });
  while (!signal.aborted) {
    await sleep(HEARTBEAT_MILLIS);
    if (script.isSilent !== true) yield createHeartbeat(view);
  }
}
