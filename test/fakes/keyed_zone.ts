/**
 * An availability zone under test: nodes that crash, pause and lose messages
 * while keyed requests arrive, and a record of what was executed.
 */
import * as Effect from 'effect/Effect';
import {v7} from 'uuid';
import type {ControlClient} from '../../src/connection/control_client.js';
import {handOverKeys} from '../../src/connection/key_hand_over.js';
import type {FleetView} from '../../src/process/fleet_view.js';
import type {KeyDecision} from '../../src/process/key_records.js';
import type {PolicyStore} from '../../src/process/policy_store.js';
import type {HostList} from '../../src/version/host_list.js';
import {createCountingMetrics} from './counting_metrics.js';
import type {KeyedNode, LeaseFactory} from './keyed_nodes.js';
import {
  askElectors,
  createZoneList,
  OWNER,
  POLICY,
  ROUND_MILLIS,
  startKeyedNode,
} from './keyed_nodes.js';
import type {ManualTimeSource} from './manual_time_source.js';
import {createManualTimeSource} from './manual_time_source.js';

/** What a host is doing. */
export type HostState = 'up' | 'paused' | 'suspended' | 'down';

/** A host with the node that runs on it, if any. */
export interface ZoneHost {
  readonly name: string;
  readonly clock: ManualTimeSource;
  /** Rate of the monotonic clock; the wall clock is kept right. */
  readonly clockRate: number;
  state: HostState;
  node: KeyedNode | undefined;
  /** Confirmations that wait for the end of a pause. */
  lateConfirmations: (() => void) | undefined;
  /** Time for which the machine has been suspended. */
  suspendedMillis: number;
}

/** A request accepted for execution and not yet sent to the upstream. */
export interface AcceptedRequest {
  readonly key: string;
  readonly host: ZoneHost;
  readonly node: KeyedNode;
  readonly acceptedAtMillis: number;
  finish: Extract<KeyDecision, {kind: 'run'}>['finish'];
}

/** An execution by an upstream. */
export interface Execution {
  readonly key: string;
  readonly hostName: string;
  readonly acceptedAtMillis: number;
}

/** Decides which calls of a hand-over fail; none by default. */
export type LostCalls = (index: number, successorName: string) => boolean;

/** A zone of hosts; its time is the true time. */
export interface KeyedZone {
  readonly hosts: ReadonlyMap<string, ZoneHost>;
  readonly accepted: readonly AcceptedRequest[];
  readonly executions: readonly Execution[];
  nowMillis(): number;
  published(): HostList;
  /** Adds a host without a node. */
  addHost(name: string): void;
  publish(names: readonly string[]): HostList;
  start(name: string, list?: HostList): void;
  crash(name: string): void;
  pause(name: string): void;
  suspend(name: string): void;
  resume(name: string): void;
  /** Cuts or restores the path between two hosts, both ways. */
  setCut(a: string, b: string, isCut: boolean): void;
  /** Lets time pass; hosts that are up renew their leases. */
  advance(millis: number): void;
  request(name: string, key: string, body?: string): KeyDecision['kind'];
  /** Sends an accepted request to the upstream, which executes it. */
  dispatch(request: AcceptedRequest): void;
  /** Takes an accepted request back before it was sent. */
  withdraw(request: AcceptedRequest): void;
  /** Stops a node as planned; returns whether its hand-over was complete. */
  stop(name: string, isLost?: LostCalls): boolean;
  /** A key of this zone that carries its time of creation. */
  newTimedKey(skewMillis?: number): string;
}

/** How the clocks of a host deviate. */
export interface ClockDeviation {
  readonly wallOffsetMillis: number;
  readonly clockRate: number;
}

/** Options of `createKeyedZone`. */
export interface KeyedZoneOptions {
  readonly createLease?: LeaseFactory | undefined;
  readonly deviationOf?: (name: string) => ClockDeviation;
}

const EXACT: ClockDeviation = {wallOffsetMillis: 0, clockRate: 1};

/** Creates a zone whose hosts all hold the first list. */
export function createKeyedZone(
  names: readonly string[],
  options: KeyedZoneOptions = {},
): KeyedZone {
  const {createLease, deviationOf = () => EXACT} = options;
  const startMillis = createManualTimeSource().wallMillis();
  const hosts = new Map<string, ZoneHost>();
  const cuts = new Set<string>();
  const executions: Execution[] = [];
  let accepted: readonly AcceptedRequest[] = [];
  let elapsedMillis = 0;
  let published = createZoneList(1, names);

  const hostOf = (name: string): ZoneHost => {
    const host = hosts.get(name);
    if (host === undefined) throw new Error(`No host ${name}.`);
    return host;
  };

  const reach = (from: string, to: string): KeyedNode | undefined => {
    const host = hosts.get(to);
    if (host?.state !== 'up' || cuts.has(pathOf(from, to))) return undefined;
    return host.node;
  };

  const tick = (millis: number): void => {
    elapsedMillis += millis;
    for (const host of hosts.values()) {
      if (host.state === 'suspended') host.suspendedMillis += millis;
      else advanceClock(host, millis);
    }
    for (const {state, node} of hosts.values()) {
      if (state === 'up' && node !== undefined) askElectors(node, reach)();
    }
  };

  const forgetAccepted = (isForgotten: (r: AcceptedRequest) => boolean) => {
    accepted = accepted.filter(request => !isForgotten(request));
  };

  const zone: KeyedZone = {
    hosts,
    executions,
    get accepted() {
      return accepted;
    },
    nowMillis: () => startMillis + elapsedMillis,
    published: () => published,
    addHost: name => {
      const {wallOffsetMillis, clockRate} = deviationOf(name);
      const clock = createManualTimeSource({
        startWallMillis: zone.nowMillis() + wallOffsetMillis,
      });
      hosts.set(name, {
        name,
        clock,
        clockRate,
        state: 'down',
        node: undefined,
        lateConfirmations: undefined,
        suspendedMillis: 0,
      });
    },
    publish: listNames => {
      published = createZoneList(published.revision + 1, listNames);
      return published;
    },
    start: (name, list = published) => {
      const host = hostOf(name);
      host.node = startKeyedNode(name, host.clock, list, createLease);
      host.state = 'up';
    },
    crash: name => {
      const host = hostOf(name);
      wake(host);
      forgetAccepted(request => request.host === host);
      host.lateConfirmations = undefined;
      host.node = undefined;
      host.state = 'down';
    },
    pause: name => {
      const host = hostOf(name);
      // The pause strikes between the answers to a round and their reading.
      host.lateConfirmations = host.node && askElectors(host.node, reach);
      host.state = 'paused';
    },
    suspend: name => {
      zone.pause(name);
      hostOf(name).state = 'suspended';
    },
    resume: name => {
      const host = hostOf(name);
      wake(host);
      host.state = 'up';
      host.lateConfirmations?.();
      host.lateConfirmations = undefined;
    },
    setCut: (a, b, isCut) => {
      if (isCut) cuts.add(pathOf(a, b));
      else cuts.delete(pathOf(a, b));
    },
    advance: millis => {
      for (let left = millis; left > 0; left -= ROUND_MILLIS) {
        tick(Math.min(left, ROUND_MILLIS));
      }
    },
    request: (name, key, body) => {
      const host = hostOf(name);
      if (host.state !== 'up' || host.node === undefined) return 'refuse';
      const decision = host.node.begin(key, body);
      if (decision.kind === 'run') {
        const {finish} = decision;
        const {node} = host;
        const acceptedAtMillis = zone.nowMillis();
        const request = {key, host, node, acceptedAtMillis, finish};
        accepted = [...accepted, request];
      }
      return decision.kind;
    },
    dispatch: request => {
      const {key, host, acceptedAtMillis} = request;
      forgetAccepted(other => other === request);
      executions.push({key, hostName: host.name, acceptedAtMillis});
      const body = Buffer.from(key);
      request.finish({
        kind: 'ran',
        answer: {statusCode: 201, headers: [], body},
      });
    },
    withdraw: request => {
      forgetAccepted(other => other === request);
      request.finish({kind: 'not-run'});
    },
    stop: (name, isLost = () => false) => {
      const {node} = hostOf(name);
      if (node === undefined) throw new Error(`No node on ${name}.`);
      let callsCount = 0;
      const report = runHandOver(node, to => {
        callsCount += 1;
        return isLost(callsCount - 1, to) ? undefined : reach(name, to);
      });
      zone.crash(name);
      return report.isComplete && report.failedCount === 0;
    },
    newTimedKey: (skewMillis = 0) => {
      const msecs = zone.nowMillis() + skewMillis;
      return `${OWNER.availabilityZone}.${v7({msecs, random: fixedBytes()})}`;
    },
  };

  let keysCount = 0;
  const fixedBytes = (): Uint8Array => {
    keysCount += 1;
    return new Uint8Array(16).fill(keysCount % 256);
  };

  for (const name of names) {
    zone.addHost(name);
    zone.start(name);
  }
  return zone;
}

function pathOf(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

/** Moves the monotonic clock at its own rate, the wall clock at the true one. */
function advanceClock({clock, clockRate}: ZoneHost, millis: number): void {
  clock.advance(millis * clockRate);
  clock.stepWall(millis - millis * clockRate);
}

/** A suspended machine gets the right wall time when it resumes. */
function wake(host: ZoneHost): void {
  host.clock.stepWall(host.suspendedMillis);
  host.suspendedMillis = 0;
}

function runHandOver(
  node: KeyedNode,
  reach: (to: string) => KeyedNode | undefined,
) {
  const client = {
    handOverKeys: (peer, request) => {
      const successor = reach(peer.hostName);
      if (successor === undefined) return Effect.fail('lost' as never);
      const acceptedCount = successor.receiver.accept(request as never);
      return Effect.succeed({acceptedCount} as never);
    },
  } as Partial<ControlClient> as ControlClient;
  const policies = {newest: () => ({policy: POLICY})} as unknown as PolicyStore;
  const fleet = {list: () => node.list()} as Partial<FleetView> as FleetView;
  return Effect.runSync(
    handOverKeys({
      hostName: node.name,
      owner: OWNER,
      incarnationMillis: node.clock.wallMillis(),
      policies,
      fleet,
      client,
      keyRecords: node.records,
      records: node.kept,
      lease: node.lease,
      takeover: node.takeover,
      timeSource: node.clock,
      metrics: createCountingMetrics(),
    }),
  );
}
