/**
 * Spreads evidence of crashes among the nodes of a fleet.
 *
 * New crashes are announced to a few random nodes, which fetch and announce them in
 * turn. Nodes that missed them, were partitioned or have just started get them from
 * comparisons of random pairs.
 */
import type {
  CrashFields,
  CrashReport,
  CrashSummary,
} from '../../protocol/crash_messages.js';
import {
  decodeCrashReport,
  encodeCrashReport,
} from '../../protocol/crash_report_codec.js';
import type {Endpoint} from '../settings/node_settings.js';
import type {CrashEvidence} from './crash_evidence.js';

/** Gossip of one node. */
export interface CrashGossip {
  /** Adds a crash of the own upstream and passes it on. */
  report(crash: CrashFields): void;
  /** Takes a report; returns one if its sender lacks any crash. */
  receive(report: Buffer): Buffer | undefined;
  /** Takes the answer to a comparison. */
  receiveAnswer(peer: Endpoint, report: Buffer): void;
  /** Compares evidence with one node, for example one that is reachable again. */
  compareWith(peer: Endpoint): void;
  /** Compares evidence with a random node; called at intervals. */
  tick(): void;
}

/** What gossip needs. */
export interface CrashGossipOptions {
  readonly evidence: CrashEvidence;
  /** All other nodes. */
  readonly peers: () => readonly Endpoint[];
  readonly send: (peer: Endpoint, report: Buffer) => void;
  /** A report could not be read. */
  readonly onMalformed: () => void;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Interval of comparisons. */
export const COMPARE_INTERVAL_MILLIS = 500;

/**
 * Time after its start, and after it has learned of a crash, in which a node compares
 * with more nodes, whether it knows of a crash or not.
 */
const ACTIVE_MILLIS = 10_000;

/** Nodes that are compared with at a time. */
const ACTIVE_PEERS_COUNT = 3;
const CALM_PEERS_COUNT = 1;

/** Nodes that a new crash is passed on to by each node that learns it. */
const FANOUT_COUNT = 8;

/** Time in which a node can send a crash that was requested. */
const ASKED_MILLIS = 200;

/** Creates the gossip of a node that starts now. */
export function createCrashGossip(options: CrashGossipOptions): CrashGossip {
  const {evidence, nowMillis} = options;
  let activeUntilMillis = nowMillis() + ACTIVE_MILLIS;
  const askedUntilMillis = new Map<string, number>();

  const encode = (parts: Partial<CrashReport>): Buffer =>
    encodeCrashReport({
      crashes: [],
      summaries: [],
      wantedIds: [],
      ...parts,
      digest: evidence.digest,
    });

  const decode = (payload: Buffer): CrashReport | undefined => {
    const report = decodeCrashReport(payload);
    if (report === undefined) options.onMalformed();
    return report;
  };

  /** Announces new crashes by their ids; nodes that lack them request them. */
  const add = (crashes: readonly CrashFields[]): void => {
    const added = evidence.add(crashes);
    if (added.length === 0) return;
    activeUntilMillis = nowMillis() + ACTIVE_MILLIS;
    const ids = new Set(added.map(({crashId}) => crashId));
    const summaries = evidence
      .summaries()
      .filter(({crashId}) => ids.has(crashId));
    const report = encode({summaries});
    for (const peer of choose(FANOUT_COUNT)) options.send(peer, report);
  };

  /** Requests each crash from one of the nodes that announce it at the same moment. */
  const askFor = (summaries: readonly CrashSummary[]): readonly string[] => {
    const now = nowMillis();
    for (const [crashId, untilMillis] of askedUntilMillis) {
      if (now >= untilMillis) askedUntilMillis.delete(crashId);
    }
    const wantedIds = summaries
      .map(({crashId}) => crashId)
      .filter(crashId => evidence.find(crashId) === undefined)
      .filter(crashId => !askedUntilMillis.has(crashId));
    for (const crashId of wantedIds) {
      askedUntilMillis.set(crashId, now + ASKED_MILLIS);
    }
    return wantedIds;
  };

  const find = (crashIds: readonly string[]): readonly CrashFields[] =>
    crashIds
      .map(evidence.find)
      .filter((crash): crash is CrashFields => crash !== undefined);

  const choose = (count: number): readonly Endpoint[] => {
    const left = [...options.peers()];
    const chosen: Endpoint[] = [];
    while (chosen.length < count && left.length > 0) {
      const index = Math.floor(options.random() * left.length);
      chosen.push(...left.splice(index, 1));
    }
    return chosen;
  };

  /** Sends what differs, and asks for the other side of it. */
  const settle = (peer: Endpoint, theirs: readonly CrashSummary[]): void => {
    const own = evidence.summaries();
    const crashes = find(differing(own, theirs));
    const wantedIds = differing(theirs, own);
    if (crashes.length + wantedIds.length === 0) return;
    options.send(peer, encode({crashes, wantedIds}));
  };

  const compareWith = (peer: Endpoint): void => {
    options.send(peer, encode({}));
  };

  return {
    report: crash => {
      add([crash]);
    },
    receive: payload => {
      const report = decode(payload);
      if (report === undefined) return undefined;
      const {crashes, summaries, wantedIds} = report;
      add(crashes);
      if (wantedIds.length > 0) return encode({crashes: find(wantedIds)});
      if (summaries.length > 0) {
        const missingIds = askFor(summaries);
        if (missingIds.length === 0) return undefined;
        return encode({wantedIds: missingIds});
      }
      if (crashes.length > 0) return undefined;
      if (report.digest === evidence.digest) return undefined;
      return encode({summaries: evidence.summaries()});
    },
    receiveAnswer: (peer, payload) => {
      const report = decode(payload);
      if (report === undefined) return;
      const {crashes, summaries, wantedIds} = report;
      add(crashes);
      if (wantedIds.length > 0) {
        options.send(peer, encode({crashes: find(wantedIds)}));
      }
      if (crashes.length + wantedIds.length === 0) settle(peer, summaries);
    },
    compareWith: peer => {
      if (!evidence.isEmpty) compareWith(peer);
    },
    tick: () => {
      const isActive = nowMillis() < activeUntilMillis;
      if (evidence.isEmpty && !isActive) return;
      const count = isActive ? ACTIVE_PEERS_COUNT : CALM_PEERS_COUNT;
      for (const peer of choose(count)) compareWith(peer);
    },
  };
}

/** Ids of crashes that the other side does not know, or knows otherwise. */
function differing(
  summaries: readonly CrashSummary[],
  others: readonly CrashSummary[],
): readonly string[] {
  const digests = new Map(others.map(({crashId, digest}) => [crashId, digest]));
  return summaries
    .filter(({crashId, digest}) => digests.get(crashId) !== digest)
    .map(({crashId}) => crashId);
}
