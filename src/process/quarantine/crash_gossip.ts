/**
 * Spreads crash evidence among the nodes of a fleet.
 *
 * New crashes are announced to a few random nodes, which fetch them and
 * announce them in turn. Nodes that missed an announcement, were partitioned or
 * have just started receive crashes when random pairs of nodes compare their
 * evidence.
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

/** Crash gossip of one node. */
export interface CrashGossip {
  /** Adds a crash of the local upstream and announces it. */
  report(crash: CrashFields): void;
  /** Handles a report; returns the reply, if there is anything to send. */
  receive(report: Buffer): Buffer | undefined;
  /** Handles the reply to a report that was sent to a peer. */
  receiveReply(peer: Endpoint, report: Buffer): void;
  /** Compares evidence with one node, for example one that is reachable again. */
  compareWith(peer: Endpoint): void;
  /** Compares evidence with random nodes; called at intervals. */
  tick(): void;
}

/** Dependencies of crash gossip. */
export interface CrashGossipOptions {
  readonly evidence: CrashEvidence;
  /** All other nodes. */
  readonly peers: () => readonly Endpoint[];
  readonly send: (peer: Endpoint, report: Buffer) => void;
  /** Called when a report cannot be decoded. */
  readonly onMalformed: () => void;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Interval between comparisons. */
export const COMPARE_INTERVAL_MILLIS = 500;

/**
 * Time after its start, and after it has learned of a crash, in which a node
 * compares with more nodes, whether it has evidence or not.
 */
const ACTIVE_MILLIS = 10_000;

/** Nodes that are compared with at a time, during that time and later. */
const ACTIVE_PEERS_COUNT = 3;
const IDLE_PEERS_COUNT = 1;

/** Nodes to which each node that learns of a new crash announces it. */
const FANOUT_COUNT = 8;

/** Time in which a node can send a crash that was requested from it. */
const REQUEST_TIMEOUT_MILLIS = 200;

/** Creates the gossip of a node that starts now. */
export function createCrashGossip(options: CrashGossipOptions): CrashGossip {
  const {evidence, nowMillis} = options;
  let activeUntilMillis = nowMillis() + ACTIVE_MILLIS;
  const requestedUntilMillis = new Map<string, number>();

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
    for (const peer of choosePeers(FANOUT_COUNT)) options.send(peer, report);
  };

  /**
   * Ids of announced crashes to request; each crash is requested from only one
   * of the nodes that announce it at the same moment.
   */
  const selectMissing = (
    summaries: readonly CrashSummary[],
  ): readonly string[] => {
    const now = nowMillis();
    for (const [crashId, untilMillis] of requestedUntilMillis) {
      if (now >= untilMillis) requestedUntilMillis.delete(crashId);
    }
    const wantedIds = summaries
      .map(({crashId}) => crashId)
      .filter(crashId => evidence.find(crashId) === undefined)
      .filter(crashId => !requestedUntilMillis.has(crashId));
    for (const crashId of wantedIds) {
      requestedUntilMillis.set(crashId, now + REQUEST_TIMEOUT_MILLIS);
    }
    return wantedIds;
  };

  const findAll = (crashIds: readonly string[]): readonly CrashFields[] =>
    crashIds
      .map(evidence.find)
      .filter((crash): crash is CrashFields => crash !== undefined);

  const choosePeers = (count: number): readonly Endpoint[] => {
    const candidates = [...options.peers()];
    const chosen: Endpoint[] = [];
    while (chosen.length < count && candidates.length > 0) {
      const index = Math.floor(options.random() * candidates.length);
      chosen.push(...candidates.splice(index, 1));
    }
    return chosen;
  };

  /** Sends the crashes that differ, and requests those of the peer. */
  const reconcile = (peer: Endpoint, theirs: readonly CrashSummary[]): void => {
    const own = evidence.summaries();
    const crashes = findAll(differingIds(own, theirs));
    const wantedIds = differingIds(theirs, own);
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
      if (wantedIds.length > 0) return encode({crashes: findAll(wantedIds)});
      if (summaries.length > 0) {
        const missingIds = selectMissing(summaries);
        if (missingIds.length === 0) return undefined;
        return encode({wantedIds: missingIds});
      }
      if (crashes.length > 0) return undefined;
      if (report.digest === evidence.digest) return undefined;
      return encode({summaries: evidence.summaries()});
    },
    receiveReply: (peer, payload) => {
      const report = decode(payload);
      if (report === undefined) return;
      const {crashes, summaries, wantedIds} = report;
      add(crashes);
      if (wantedIds.length > 0) {
        options.send(peer, encode({crashes: findAll(wantedIds)}));
      }
      if (crashes.length + wantedIds.length === 0) reconcile(peer, summaries);
    },
    compareWith: peer => {
      if (!evidence.isEmpty) compareWith(peer);
    },
    tick: () => {
      const isActive = nowMillis() < activeUntilMillis;
      if (evidence.isEmpty && !isActive) return;
      const count = isActive ? ACTIVE_PEERS_COUNT : IDLE_PEERS_COUNT;
      for (const peer of choosePeers(count)) compareWith(peer);
    },
  };
}

/** Ids of crashes that the other side lacks or whose digests differ there. */
function differingIds(
  summaries: readonly CrashSummary[],
  others: readonly CrashSummary[],
): readonly string[] {
  const digests = new Map(others.map(({crashId, digest}) => [crashId, digest]));
  return summaries
    .filter(({crashId, digest}) => digests.get(crashId) !== digest)
    .map(({crashId}) => crashId);
}
