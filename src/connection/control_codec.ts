/**
 * Control messages of peer exchanges to and from the process's own types.
 */
import {create} from '@bufbuild/protobuf';
import type {FleetView, HostPhase, HostStatus} from '../process/fleet_view.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {
  ControlMessage,
  HostStatus as HostStatusMessage,
  ViewVersion,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  ControlMessageSchema,
  HeartbeatSchema,
  HelloSchema,
  HostPhase as PhaseMessage,
  HostStatusRequestSchema,
  HostStatusSchema,
  HostStatusUpdateSchema,
  ViewVersionSchema,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';

const DIGEST_PREFIX_CHARACTERS = 16;
const UINT32_MAXIMUM = 0xffff_ffff;

/** What one node holds, as told to its peers. */
export interface PeerView {
  readonly policyVersion: number;
  readonly policyDigest: bigint;
  readonly listRevision: number;
  readonly listDigest: bigint;
  readonly statusDigest: bigint;
  /** Undefined when the node has heard of no answer of the platform. */
  readonly platformAgeMillis: number | undefined;
}

/** First message of a node on a stream. */
export interface PeerHello {
  readonly protocolVersion: number;
  readonly hostName: string;
  readonly deployment: string;
  readonly controlAddress: string;
  readonly controlPort: number;
  readonly view: PeerView;
}

/** Collects what this process holds. */
export function readOwnView(
  policyStore: PolicyStore,
  fleetView: FleetView,
  platformAgeMillis: number | undefined,
): PeerView {
  const policy = policyStore.newest();
  return {
    policyVersion: policy?.version ?? 0,
    policyDigest: digestPrefix(policy?.digest ?? ''),
    listRevision: fleetView.listRevision(),
    listDigest: digestPrefix(fleetView.listDigest()),
    statusDigest: fleetView.statusDigest(),
    platformAgeMillis,
  };
}

/** The first 8 bytes of a digest in hex. */
function digestPrefix(digestHex: string): bigint {
  if (digestHex === '') return 0n;
  return BigInt(`0x${digestHex.slice(0, DIGEST_PREFIX_CHARACTERS)}`);
}

function encodeView(view: PeerView): ViewVersion {
  return create(ViewVersionSchema, {
    policyVersion: BigInt(view.policyVersion),
    policyDigest: view.policyDigest,
    hostListRevision: BigInt(view.listRevision),
    hostListDigest: view.listDigest,
    statusDigest: view.statusDigest,
    platformAgeMillis: encodeAge(view.platformAgeMillis),
  });
}

function encodeAge(ageMillis: number | undefined): number | undefined {
  if (ageMillis === undefined) return undefined;
  return Math.min(Math.ceil(ageMillis), UINT32_MAXIMUM);
}

/** Reads a view; a missing one holds nothing. */
export function decodeView(view: ViewVersion | undefined): PeerView {
  return {
    policyVersion: Number(view?.policyVersion ?? 0n),
    policyDigest: view?.policyDigest ?? 0n,
    listRevision: Number(view?.hostListRevision ?? 0n),
    listDigest: view?.hostListDigest ?? 0n,
    statusDigest: view?.statusDigest ?? 0n,
    platformAgeMillis: view?.platformAgeMillis,
  };
}

/** Makes a hello message. */
export function createHello(hello: PeerHello): ControlMessage {
  const value = create(HelloSchema, {...hello, view: encodeView(hello.view)});
  return create(ControlMessageSchema, {message: {case: 'hello', value}});
}

/** Makes a heartbeat message. */
export function createHeartbeat(view: PeerView): ControlMessage {
  const value = create(HeartbeatSchema, {view: encodeView(view)});
  return create(ControlMessageSchema, {message: {case: 'heartbeat', value}});
}

/** Makes a message with statuses. */
export function createStatusUpdate(
  statuses: readonly HostStatus[],
): ControlMessage {
  const value = create(HostStatusUpdateSchema, {
    statuses: statuses.map(encodeStatus),
  });
  return create(ControlMessageSchema, {
    message: {case: 'hostStatusUpdate', value},
  });
}

/** Makes a request for all statuses. */
export function createStatusRequest(): ControlMessage {
  const value = create(HostStatusRequestSchema);
  return create(ControlMessageSchema, {
    message: {case: 'hostStatusRequest', value},
  });
}

const PHASE_MESSAGES: Readonly<Record<HostPhase, PhaseMessage>> = {
  serving: PhaseMessage.SERVING,
  draining: PhaseMessage.DRAINING,
  stopped: PhaseMessage.STOPPED,
};

function encodeStatus(status: HostStatus): HostStatusMessage {
  return create(HostStatusSchema, {
    hostName: status.hostName,
    incarnationMillis: BigInt(status.incarnationMillis),
    sequence: status.sequence,
    phase: PHASE_MESSAGES[status.phase],
  });
}

/** Reads statuses; those with a phase this release does not know are left out. */
export function decodeStatuses(
  messages: readonly HostStatusMessage[],
): readonly HostStatus[] {
  return messages.flatMap(message => {
    const phase = decodePhase(message.phase);
    if (phase === undefined) return [];
    const {hostName, sequence} = message;
    const incarnationMillis = Number(message.incarnationMillis);
    return [{hostName, incarnationMillis, sequence, phase}];
  });
}

function decodePhase(phase: PhaseMessage): HostPhase | undefined {
  switch (phase) {
    case PhaseMessage.SERVING:
      return 'serving';
    case PhaseMessage.DRAINING:
      return 'draining';
    case PhaseMessage.STOPPED:
      return 'stopped';
    case PhaseMessage.UNSPECIFIED:
      return undefined;
    default:
      return undefined;
  }
}
