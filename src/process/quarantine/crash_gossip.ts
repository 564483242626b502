/**
 * Spreads evidence of crashes among the nodes of a fleet.
 *
 * New crashes are passed on at once to a few random nodes, which pass them on in
 * turn. Nodes that missed them, were cut off or have just started get them from
 * comparisons of random pairs.
 */
import type {CrashFields} from '../../protocol/crash_fields.js';
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

/** Time after its start in which a node compares though it knows of no crash. */
const STARTING_MILLIS = 10_000;

/** Nodes that a new crash is passed on to by each node that learns it. */
const FANOUT_COUNT = 8;

const NO_CRASHES: readonly CrashFields[] = [];

/** Creates the gossip of a node that starts now. */
export function createCrashGossip(options: CrashGossipOptions): CrashGossip {
  const {evidence, nowMillis} = options;
  const startedMillis = nowMillis();

  const encode = (crashes: readonly CrashFields[]): Buffer =>
    encodeCrashReport({digest: evidence.digest, crashes});

  const add = (crashes: readonly CrashFields[]): void => {
    if (!evidence.add(crashes)) return;
    const report = encode(crashes);
    for (const peer of choose(FANOUT_COUNT)) options.send(peer, report);
  };

  const choose = (count: number): readonly Endpoint[] => {
    const left = [...options.peers()];
    const chosen: Endpoint[] = [];
    while (chosen.length < count && left.length > 0) {
      const index = Math.floor(options.random() * left.length);
      chosen.push(...left.splice(index, 1));
    }
    return chosen;
  };

  const compareWith = (peer: Endpoint): void => {
    options.send(peer, encode(NO_CRASHES));
  };

  return {
    report: crash => {
      add([crash]);
    },
    receive: payload => {
      const report = decodeCrashReport(payload);
      if (report === undefined) {
        options.onMalformed();
        return undefined;
      }
      if (report.crashes.length > 0) {
        add(report.crashes);
        return undefined;
      }
      if (report.digest === evidence.digest) return undefined;
      return encode(evidence.crashes());
    },
    receiveAnswer: (peer, payload) => {
      const report = decodeCrashReport(payload);
      if (report === undefined) {
        options.onMalformed();
        return;
      }
      add(report.crashes);
      if (report.digest === evidence.digest) return;
      options.send(peer, encode(evidence.crashes()));
    },
    compareWith: peer => {
      if (!evidence.isEmpty) compareWith(peer);
    },
    tick: () => {
      const isStarting = nowMillis() - startedMillis < STARTING_MILLIS;
      if (evidence.isEmpty && !isStarting) return;
      for (const peer of choose(1)) compareWith(peer);
    },
  };
}
