/**
 * Choice of the peer for each stream this node opens.
 */
import type {FleetView} from '../process/fleet_view.js';
import type {
  PeerCandidate,
  PeerSlot,
  SelectingHost,
} from '../process/peer_selection.js';
import {orderCandidates} from '../process/peer_selection.js';
import type {SeedPeer} from '../process/settings.js';
import type {ControlPeer} from './control_client.js';
import type {PeerSuspicion} from './peer_suspicion.js';

/** Picks peers and keeps two streams from going to the same one. */
export interface PeerChooser {
  /**
   * The peer a slot should have now: the current one unless it is gone or a
   * better one can be tried. Undefined when there is none.
   */
  choose(
    slot: PeerSlot,
    current: ControlPeer | undefined,
  ): ControlPeer | undefined;
  /** Reserves a peer for one slot. */
  claim(peer: ControlPeer): void;
  release(peer: ControlPeer): void;
}

/** Options of `createPeerChooser`. */
export interface PeerChooserOptions {
  readonly own: SelectingHost;
  readonly remotePeersCount: number;
  readonly seedPeers: readonly SeedPeer[];
  readonly fleetView: FleetView;
  readonly suspicion: PeerSuspicion;
  /** Whether the host has opened a stream to this node. */
  readonly isLinkedInbound: (hostName: string) => boolean;
}

/** Creates a chooser without claims. */
export function createPeerChooser(options: PeerChooserOptions): PeerChooser {
  const {own, fleetView, suspicion, seedPeers} = options;
  const claimed = new Set<string>();

  function candidatesOf(slot: PeerSlot): readonly PeerCandidate[] {
    const {remotePeersCount} = options;
    return orderCandidates(slot, own, fleetView, remotePeersCount);
  }

  function isFree(slot: PeerSlot, hostName: string): boolean {
    if (claimed.has(hostName)) return false;
    // A host that has a stream to this node already adds no path; the ring
    // takes it all the same, since that stream may end at any time.
    return slot.kind === 'zone-ring' || !options.isLinkedInbound(hostName);
  }

  /** Before any list, or with a list of unreachable hosts, the seeds remain. */
  function chooseSeed(): ControlPeer | undefined {
    const free = seedPeers.filter(
      seed => seed.hostName !== own.hostName && !claimed.has(seed.hostName),
    );
    return leastSuspect(free, seed => seed.hostName, suspicion);
  }

  /**
   * The current seed, if it is one, or the least suspect of the others. Taking
   * another each time would change streams without end, since a seed is not
   * among the candidates that the current peer is compared with.
   */
  function keepOrChooseSeed(
    current: ControlPeer | undefined,
  ): ControlPeer | undefined {
    const isSeed = seedPeers.some(seed => seed.hostName === current?.hostName);
    return isSeed ? current : chooseSeed();
  }

  function chooseListed(
    slot: PeerSlot,
    candidates: readonly PeerCandidate[],
    currentPeer: ControlPeer | undefined,
  ): ControlPeer | undefined {
    const current = candidates.find(
      candidate => nameOfCandidate(candidate) === currentPeer?.hostName,
    );
    const free = candidates.filter(candidate =>
      isFree(slot, candidate.known.host.name),
    );
    const best = free.find(
      candidate => !suspicion.isSuspect(candidate.known.host.name),
    );
    const isBetter =
      best !== undefined && (current === undefined || best.tier < current.tier);
    if (isBetter) return toPeer(best);
    if (current !== undefined) return toPeer(current);
    if (free.length === 0) return undefined;
    const seed = keepOrChooseSeed(currentPeer);
    if (seed !== undefined && !suspicion.isSuspect(seed.hostName)) return seed;
    const last = leastSuspect(free, nameOfCandidate, suspicion);
    return last === undefined ? undefined : toPeer(last);
  }

  return {
    choose: (slot, current) => {
      const candidates = candidatesOf(slot);
      if (candidates.length === 0) {
        const isListKnown = fleetView.list() !== undefined;
        if (isListKnown && slot.kind !== 'zone-ring') return undefined;
        return current ?? chooseSeed();
      }
      return chooseListed(slot, candidates, current);
    },
    claim: peer => {
      claimed.add(peer.hostName);
    },
    release: peer => {
      claimed.delete(peer.hostName);
    },
  };
}

function nameOfCandidate(candidate: PeerCandidate): string {
  return candidate.known.host.name;
}

function toPeer(candidate: PeerCandidate): ControlPeer {
  const {name, address, controlPort} = candidate.known.host;
  return {hostName: name, address, controlPort};
}

/** The item that may be tried first. */
function leastSuspect<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
  suspicion: PeerSuspicion,
): T | undefined {
  let best: T | undefined;
  let bestUntilMillis = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const untilMillis = suspicion.untilMillis(nameOf(item));
    if (untilMillis >= bestUntilMillis) continue;
    best = item;
    bestUntilMillis = untilMillis;
  }
  return best;
}
