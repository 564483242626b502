/**
 * A process with control nodes for the measured one to talk to, so that the
 * cost of the far side stays out of the figures.
 */
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

/** What the process is told to do. */
export type PeerCommand =
  | {
      readonly kind: 'start';
      readonly count: number;
      readonly heartbeatMillis: number;
    }
  | {readonly kind: 'list'; readonly list: string}
  | {readonly kind: 'policy'; readonly policy: string}
  | {
      readonly kind: 'statuses';
      readonly hostNames: readonly string[];
      readonly ratePerSecond: number;
      readonly durationMillis: number;
    }
  | {readonly kind: 'usage'};

/** What it answers; the fields depend on the command. */
export interface PeerReply {
  readonly ports?: readonly number[];
  readonly cpuMillis?: number;
  readonly failure?: string;
}

/** The process with the control nodes. */
export interface CapacityPeers {
  readonly ports: readonly number[];
  send(command: PeerCommand): Promise<PeerReply>;
  close(): void;
}

const PROGRAM = fileURLToPath(
  new URL('capacity_peer_main.js', import.meta.url),
);

/** Starts control nodes on loopback in another process. */
export async function startCapacityPeers(
  count: number,
  heartbeatMillis: number,
): Promise<CapacityPeers> {
  const child = fork(PROGRAM, {execArgv: []});
  const send = async (command: PeerCommand): Promise<PeerReply> => {
    const answered = once(child, 'message');
    child.send(command);
    const [reply] = (await answered) as [PeerReply];
    if (reply.failure !== undefined) throw new Error(reply.failure);
    return reply;
  };
  const {ports = []} = await send({kind: 'start', count, heartbeatMillis});
  return {
    ports,
    send,
    close: () => {
      child.disconnect();
    },
  };
}
