/**
 * A fleet of followers on one replayed source that ask each other, on a clock that
 * moves in steps: who watches, what the source is asked, and how late each learns.
 */
import * as Effect from 'effect/Effect';
import * as TestClock from 'effect/testing/TestClock';
import {CHANGES_QUERY_TIMEOUT_MILLIS} from '../../src/connection/remote_execution.js';
import {RELAY_RESERVE_MILLIS} from '../../src/daemon/document_feeds.js';
import {followDocuments} from '../../src/connection/document_follower.js';
import type {PeerRelay} from '../../src/connection/peer_relay.js';
import {createPeerRelay} from '../../src/connection/peer_relay.js';
import type {SourcePosition} from '../../src/process/membership/document_source.js';
import {createFollowerPacing} from '../../src/process/membership/follower_pacing.js';
import type {PeerPositions} from '../../src/process/membership/peer_positions.js';
import {createPeerPositions} from '../../src/process/membership/peer_positions.js';
import {createDocumentCache} from '../../src/process/membership/document_cache.js';
import type {KnownUpstream} from '../../src/process/membership/known_upstream.js';
import {createWatcherSelection} from '../../src/process/membership/watcher_selection.js';
import {createSimulatedSource} from './simulated_source.js';
import type {SimulatedSource} from './simulated_source.js';
import {upstreamEntry} from './route_documents.js';

/** A node of the fleet. */
export interface RelayNode {
  readonly hostKey: string;
  readonly zone: string;
  /** Where it reaches the source; other nodes are elsewhere. */
  readonly source: SimulatedSource;
  readonly appliedPosition: SourcePosition;
  /** Texts it knows, by key. */
  readonly texts: ReadonlyMap<string, string>;
  /** Other nodes do not reach it, nor does it reach them. */
  isPartitioned: boolean;
}

/** What a fleet is made of. */
export interface RelayFleetOptions {
  readonly nodesCount: number;
  readonly zonesCount: number;
  readonly applyWithinMillis: number;
  /** Messages that each node gets from others in a second. */
  readonly messagesPerSecond: number;
  readonly random: () => number;
}

/** A fleet at rest. */
export interface RelayFleet {
  readonly nodes: readonly RelayNode[];
  readonly nowMillis: () => number;
  /** Calls of all nodes to the source. */
  callsCount(): number;
  /** Changes a document for all; returns its revision. */
  change(key: string): number;
  compact(): void;
  /** The source comes back from what it holds now, later. */
  takeSnapshot(): () => void;
  /** Moves on; `act` is called at every step. */
  run(millis: number, act?: (atMillis: number) => void): Effect.Effect<void>;
}

const STEP_MILLIS = 20;

interface Node extends RelayNode {
  readonly relay: PeerRelay;
  readonly positions: PeerPositions;
}

/** Plays a fleet from its start to the end of the given program. */
export function simulateRelayFleet(
  options: RelayFleetOptions,
  play: (fleet: RelayFleet) => Effect.Effect<void>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const {fleet, followers} = createFleet(options);
    for (const follower of followers) yield* Effect.forkChild(follower);
    yield* play(fleet);
  });
  return Effect.runPromise(Effect.provide(program, TestClock.layer()));
}

function createFleet(options: RelayFleetOptions): {
  fleet: RelayFleet;
  followers: ReadonlyArray<Effect.Effect<never>>;
} {
  const {nodesCount, zonesCount, random} = options;
  let now = 0;
  const nowMillis = (): number => now;
  const sleepers = new Set<{atMillis: number; wake: () => void}>();
  const hosts: readonly KnownUpstream[] = Array.from(
    {length: nodesCount},
    (_, index) => ({
      entry: upstreamEntry({
        id: `u-${String(index)}`,
        hostKey: `10.0.${String(index)}.1:80`,
        zone: `zone-${String(index % zonesCount)}`,
      }),
      coldUntilMillis: 0,
      firstSeenMillis: 0,
    }),
  );
  const nodes: Node[] = [];
  const silence = (): Promise<undefined> =>
    new Promise(resolve => {
      const wake = (): void => {
        resolve(undefined);
      };
      sleepers.add({atMillis: now + CHANGES_QUERY_TIMEOUT_MILLIS, wake});
    });

  const followers = hosts.map(({entry}) => {
    const source = createSimulatedSource(nowMillis);
    const positions = createPeerPositions();
    const texts = new Map<string, string>();
    const relay = createPeerRelay({
      selection: createWatcherSelection({
        hosts: () => hosts,
        ownHostKey: entry.hostKey,
        zone: entry.zone,
        nowMillis,
      }),
      documents: createDocumentCache(),
      send: async (target, question) => {
        const asked = nodes.find(({hostKey}) => hostKey === target.hostKey);
        if (asked === undefined || asked.isPartitioned || node.isPartitioned) {
          return silence();
        }
        return asked.relay.answerQuery(question);
      },
    });
    const node: Node = {
      hostKey: entry.hostKey,
      zone: entry.zone,
      source,
      get appliedPosition() {
        return positions.applied;
      },
      texts,
      isPartitioned: false,
      relay,
      positions,
    };
    nodes.push(node);
    const take = (key: string, text: string | undefined): void => {
      if (text === undefined) texts.delete(key);
      else texts.set(key, text);
    };
    return followDocuments({
      source,
      prefix: '',
      peerPositions: positions,
      relay,
      pacing: createFollowerPacing({
        applyWithinMillis: options.applyWithinMillis,
        relayReserveMillis: RELAY_RESERVE_MILLIS,
        random,
      }),
      nowMillis,
      listener: {
        onCall: () => undefined,
        onLost: () => undefined,
        onReached: () => undefined,
        onRestored: () => undefined,
        onSnapshot: documents => {
          texts.clear();
          for (const {key, text} of documents) take(key, text);
        },
        onChanges: documents => {
          for (const {key, text} of documents) take(key, text);
        },
      },
    });
  });

  /** Messages between nodes that do not know of this. */
  const gossip = (): void => {
    const chance = (options.messagesPerSecond * STEP_MILLIS) / 1000;
    for (const node of nodes) {
      if (random() >= chance) continue;
      const other = nodes[Math.floor(random() * nodes.length)];
      if (other === undefined || other.isPartitioned || node.isPartitioned) {
        continue;
      }
      node.positions.recordPeerPosition(other.positions.applied);
      other.positions.recordPeerPosition(node.positions.applied);
    }
  };

  const tick = (): void => {
    for (const sleeper of sleepers) {
      if (now < sleeper.atMillis) continue;
      sleepers.delete(sleeper);
      sleeper.wake();
    }
    gossip();
    for (const {source} of nodes) source.tick();
  };

  const fleet: RelayFleet = {
    nodes,
    nowMillis,
    callsCount: () =>
      nodes.reduce((sum, {source}) => sum + source.callsCount, 0),
    change: key => {
      let revision = 0;
      for (const {source} of nodes) revision = source.change(key);
      return revision;
    },
    compact: () => {
      for (const {source} of nodes) source.compact();
    },
    takeSnapshot: () => {
      const restores = nodes.map(({source}) => {
        const copy = source.takeSnapshot();
        return () => {
          source.restore(copy);
        };
      });
      return () => {
        for (const restore of restores) restore();
      };
    },
    run: (millis, act = () => undefined) =>
      Effect.gen(function* () {
        const endMillis = now + millis;
        while (now < endMillis) {
          now += STEP_MILLIS;
          act(now);
          tick();
          yield* Effect.promise(() => new Promise(setImmediate));
          yield* TestClock.adjust(STEP_MILLIS);
        }
      }),
  };
  return {fleet, followers};
}
