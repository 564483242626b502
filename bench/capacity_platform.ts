/**
 * Calls on the platform when many nodes start at once, and asks on the electors
 * of a large zone. Computed from the product's rules, not measured.
 */
import {orderElectors} from '../src/process/elector_order.js';
import {createKeyView, quorumCount} from '../src/process/key_view.js';
import {DEFAULT_CONTROL} from '../src/process/settings_defaults.js';
import {createHostList, createPolicy, TARGET} from './capacity_documents.js';

/** Most calls that reach the platform within any one second. */
export interface StartCalls {
  readonly startingNodesCount: number;
  /** Time over which the nodes become ready to read, evenly. */
  readonly startWindowMillis: number;
  /** False if the platform refuses every call at once. */
  readonly isAnswered: boolean;
  readonly busiestSecondCount: number;
}

/** Asks on the electors of one zone in one round of all its hosts. */
export interface ElectorLoad {
  readonly zoneHostsCount: number;
  readonly busiestElectorAsksCount: number;
  readonly meanElectorAsksCount: number;
}

const MILLIS_PER_SECOND = 1000;
const DOCUMENTS_COUNT = 2;

/** Pause of an isolated node between reads, as in the platform reader. */
const ISOLATED_READ_MILLIS = 2000;
const WATCHED_MILLIS = 20_000;

/** Cases of the page: the fleet, a region and what the fleet may grow to. */
export function computeStartCalls(): readonly StartCalls[] {
  const regionHostsCount = Math.round(
    (TARGET.hostsCount * 4) / TARGET.zonesCount,
  );
  const results: StartCalls[] = [];
  for (const nodesCount of [regionHostsCount, TARGET.hostsCount, 1000, 1500]) {
    for (const startWindowMillis of [1, 10_000]) {
      for (const isAnswered of [true, false]) {
        results.push({
          startingNodesCount: nodesCount,
          startWindowMillis,
          isAnswered,
          busiestSecondCount: busiestSecond(
            callTimes(nodesCount, startWindowMillis, isAnswered),
          ),
        });
      }
    }
  }
  return results;
}

function callTimes(
  nodesCount: number,
  startWindowMillis: number,
  isAnswered: boolean,
): readonly number[] {
  const times: number[] = [];
  for (let node = 0; node < nodesCount; node += 1) {
    const startMillis = (node * startWindowMillis) / nodesCount;
    for (let document = 0; document < DOCUMENTS_COUNT; document += 1) {
      if (isAnswered) times.push(startMillis);
      else times.push(...repeatedReads(startMillis));
    }
  }
  if (isAnswered) times.push(...firstWatches(startWindowMillis));
  return times.sort((left, right) => left - right);
}

/** The readers' watches, just as the last nodes have their list. */
function firstWatches(atMillis: number): readonly number[] {
  const readersCount = TARGET.zonesCount * DEFAULT_CONTROL.zoneReadersCount;
  return new Array<number>(readersCount * DOCUMENTS_COUNT).fill(atMillis);
}

function repeatedReads(startMillis: number): readonly number[] {
  const times: number[] = [];
  let atMillis = startMillis;
  while (atMillis < WATCHED_MILLIS) {
    times.push(atMillis);
    atMillis += ISOLATED_READ_MILLIS * (0.5 + Math.random());
  }
  return times;
}

function busiestSecond(times: readonly number[]): number {
  let first = 0;
  let busiest = 0;
  times.forEach((atMillis, index) => {
    while ((times[first] ?? 0) <= atMillis - MILLIS_PER_SECOND) first += 1;
    busiest = Math.max(busiest, index - first + 1);
  });
  return busiest;
}

/** Counts whom the hosts of one zone ask first. */
export function computeElectorLoad(): ElectorLoad {
  const list = createHostList(TARGET.hostsCount, 1);
  const policy = createPolicy(1, TARGET.servicesCount, 1);
  const zone = list.hosts[0]?.availabilityZone ?? '';
  const hosts = list.hosts.filter(host => host.availabilityZone === zone);
  const asks = new Map<string, number>();
  for (const host of hosts) {
    const {electors} = createKeyView(policy, list, host);
    for (const elector of electors) asks.set(elector, asks.get(elector) ?? 0);
    const isElector = electors.includes(host.name);
    const neededCount = quorumCount(electors.length) - Number(isElector);
    const others = electors.filter(name => name !== host.name);
    const asked = orderElectors(host.name, others, new Set());
    for (const elector of asked.slice(0, neededCount)) {
      asks.set(elector, (asks.get(elector) ?? 0) + 1);
    }
  }
  const counts = [...asks.values()];
  return {
    zoneHostsCount: hosts.length,
    busiestElectorAsksCount: Math.max(...counts),
    meanElectorAsksCount:
      counts.reduce((sum, count) => sum + count, 0) / counts.length,
  };
}
