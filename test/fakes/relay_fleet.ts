/**
 * Simulates a fleet of document followers that relay changes to each other, on a clock
 * that advances in steps. Tests measure the calls to the source and the delay of changes.
 */
import * as Effect from 'effect/Effect';
import * as TestClock from 'effect/testing/TestClock';
import {followDocuments} from '../../src/connection/document_follower.js';
import type {PeerRelay} from '../../src/connection/peer_relay.js';
import {createPeerRelay} from '../../src/connection/peer_relay.js';
import type {SourcePosition} from '../../src/process/membership/document_source.js';
import {
  createDocumentFreshness,
  RELAY_RESERVE_MILLIS,
} from '../../src/process/membership/document_freshness.js';
import {createFollowerPacing} from '../../src/process/membership/follower_pacing.js';
import type {PeerPositions} from '../../src/process/membership/peer_positions.js';
import {createPeerPositions} from '../../src/process/membership/peer_positions.js';
import {createDocumentCache} from '../../src/process/membership/document_cache.js';
import type {KnownUpstream} from '../../src/process/membership/known_upstream.js';
import {createWatcherSelection} from '../../src/process/membership/watcher_selection.js';
import {createSimulatedSource} from './simulated_source.js';
import type {SimulatedSource} from './simulated_source.js';
import {upstreamEntry} from './route_documents.js';

export interface RelayNode {
  readonly hostKey: string;
  readonly zone: string;
  /** The node's own connection to the source, with its own faults. */
  readonly source: SimulatedSource;
  readonly appliedPosition: SourcePosition;
  /** Texts of the documents that the node has applied, by key. */
  readonly texts: ReadonlyMap<string, string>;
  /** Number of polls that have reached the node. */
  readonly pollsCount: number;
  /** Whether the node and all other nodes are unreachable for each other. */
  isPartitioned: boolean;
  /** Whether the process has ended: connections to it are closed or refused. */
  readonly isKilled: boolean;
  kill(): void;
}

export interface RelayFleetOptions {
  readonly nodesCount: number;
  readonly zonesCount: number;
  readonly applyWithinMillis: number;
  /** Position exchanges that each node starts with others per second. */
  readonly messagesPerSecond: number;
  /** One-way delay of a poll and of its response; 0 if omitted. */
  readonly linkDelayMillis?: number;
  /** Delay of each response of the source; 0 if omitted. */
  readonly sourceDelayMillis?: number;
  readonly random: () => number;
}

export interface RelayFleet {
  readonly nodes: readonly RelayNode[];
  readonly nowMillis: () => number;
  /** Total number of calls of all nodes to the source. */
  callsCount(): number;
  /** Changes a document of the source; returns its revision. */
  change(key: string): number;
  compact(): void;
  /** Takes a snapshot of the source; the returned function restores it. */
  takeSnapshot(): () => void;
  /** Advances the clock; `onStep` is called at every step. */
  run(millis: number, onStep?: (atMillis: number) => void): Effect.Effect<void>;
}

const STEP_MILLIS = 20;

interface SimulatedRelayNode extends RelayNode {
  pollsCount: number;
  isKilled: boolean;
  /** Called when the process ends. */
  readonly onKilled: Set<() => void>;
  readonly relay: PeerRelay;
  readonly positions: PeerPositions;
}

/** Runs a fleet from its start until the scenario ends. */
export function simulateRelayFleet(
  options: RelayFleetOptions,
  scenario: (fleet: RelayFleet) => Effect.Effect<void>,
): Promise<void> {
  const program = Effect.gen(function* () {
    const {fleet, followers} = createFleet(options);
    for (const follower of followers) yield* Effect.forkChild(follower);
    yield* scenario(fleet);
  });
  return Effect.runPromise(Effect.provide(program, TestClock.layer()));
}

function createFleet(options: RelayFleetOptions): {
  fleet: RelayFleet;
  followers: ReadonlyArray<Effect.Effect<never>>;
} {
  const {nodesCount, zonesCount, random, linkDelayMillis = 0} = options;
  let now = 0;
  const nowMillis = (): number => now;
  const timers = new Set<{atMillis: number; onTimeout: () => void}>();
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
  const nodes: SimulatedRelayNode[] = [];
  const wait = (millis: number): Promise<undefined> =>
    new Promise(resolve => {
      const onTimeout = (): void => {
        resolve(undefined);
      };
      if (millis === 0) onTimeout();
      else timers.add({atMillis: now + millis, onTimeout});
    });
  /** Resolves when the response arrives, the peer has ended, or the poll times out. */
  const poll = (
    from: SimulatedRelayNode,
    hostKey: string,
    query: Buffer,
    timeoutMillis: number,
  ): Promise<Buffer | undefined> =>
    new Promise(resolve => {
      const peer = nodes.find(node => node.hostKey === hostKey);
      const canPass = (): boolean =>
        peer !== undefined && !peer.isPartitioned && !from.isPartitioned;
      void wait(timeoutMillis).then(resolve);
      void wait(linkDelayMillis).then(() => {
        if (peer?.isKilled === true) resolve(undefined);
        if (peer === undefined || peer.isKilled || !canPass()) return;
        peer.pollsCount += 1;
        peer.onKilled.add(() => {
          resolve(undefined);
        });
        peer.relay.acceptQuery(query, response => {
          void wait(linkDelayMillis).then(() => {
            if (canPass() && !peer.isKilled) resolve(response);
          });
        });
      });
    });

  const followers = hosts.map(({entry}) => {
    const source = createSimulatedSource(nowMillis, {
      responseDelayMillis: options.sourceDelayMillis ?? 0,
      wait,
    });
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
      freshness: createDocumentFreshness({
        applyWithinMillis: options.applyWithinMillis,
        nowMillis,
      }),
      nowMillis,
      send: (target, query, timeoutMillis) =>
        poll(node, target.hostKey, query, timeoutMillis),
    });
    const node: SimulatedRelayNode = {
      hostKey: entry.hostKey,
      zone: entry.zone,
      source,
      get appliedPosition() {
        return positions.applied;
      },
      texts,
      pollsCount: 0,
      isPartitioned: false,
      isKilled: false,
      onKilled: new Set(),
      kill: () => {
        node.isKilled = true;
        source.setState('refusing');
        for (const listener of node.onKilled) listener();
      },
      relay,
      positions,
    };
    nodes.push(node);
    const applyDocument = (key: string, text: string | undefined): void => {
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
          for (const {key, text} of documents) applyDocument(key, text);
        },
        onChanges: documents => {
          for (const {key, text} of documents) applyDocument(key, text);
        },
      },
    });
  });

  const isReachable = (node: RelayNode): boolean =>
    !node.isPartitioned && !node.isKilled;

  /** Simulates the positions that nodes attach to unrelated messages. */
  const exchangePositions = (): void => {
    const probability = (options.messagesPerSecond * STEP_MILLIS) / 1000;
    for (const node of nodes) {
      if (random() >= probability) continue;
      const other = nodes[Math.floor(random() * nodes.length)];
      if (other === undefined || !isReachable(other) || !isReachable(node)) {
        continue;
      }
      node.positions.recordPeerPosition(other.positions.applied);
      other.positions.recordPeerPosition(node.positions.applied);
    }
  };

  const tick = (): void => {
    for (const timer of timers) {
      if (now < timer.atMillis) continue;
      timers.delete(timer);
      timer.onTimeout();
    }
    exchangePositions();
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
        const snapshot = source.takeSnapshot();
        return () => {
          source.restore(snapshot);
        };
      });
      return () => {
        for (const restore of restores) restore();
      };
    },
    run: (millis, onStep = () => undefined) =>
      Effect.gen(function* () {
        const endMillis = now + millis;
        while (now < endMillis) {
          now += STEP_MILLIS;
          onStep(now);
          tick();
          yield* Effect.promise(() => new Promise(setImmediate));
          yield* TestClock.adjust(STEP_MILLIS);
        }
      }),
  };
  return {fleet, followers};
}
