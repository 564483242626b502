/**
 * What this process knows of all hosts: the published list and what hosts
 * announced about themselves.
 */
import type {Event} from '../base/event.js';
import type {HostList, PublishedHost} from '../version/host_list.js';

/** Life phase a host announces about itself. */
export type HostPhase = 'serving' | 'draining' | 'stopped';

/** An announcement; the higher (incarnation, sequence) replaces the lower. */
export interface HostStatus {
  readonly hostName: string;
  /** Wall time at which the host's node started. */
  readonly incarnationMillis: number;
  readonly sequence: number;
  readonly phase: HostPhase;
}

/** A published host with what it announced, if anything. */
export interface KnownHost {
  readonly host: PublishedHost;
  readonly status: HostStatus | undefined;
  /** False when published as leaving or announced as draining or stopped. */
  readonly acceptsNewWork: boolean;
}

/** What became of an offered host list. */
export type HostListOfferResult =
  | {readonly kind: 'accepted'; readonly revision: number}
  | {readonly kind: 'already-held'}
  | {readonly kind: 'older'; readonly heldRevision: number}
  | {readonly kind: 'digest-conflict'; readonly revision: number}
  | {readonly kind: 'invalid'; readonly problems: readonly string[]};

/** The picture of the fleet. */
export abstract class FleetView {
  /** Revision of the list held; 0 before any. */
  abstract listRevision(): number;
  /** SHA-256 of the list as published, hex; empty before any. */
  abstract listDigest(): string;
  /** The list as published, relayed to peers. */
  abstract listBytes(): Uint8Array;
  abstract list(): HostList | undefined;
  /** Accepts a list with a higher revision; never goes back. */
  abstract offerList(bytes: Uint8Array, source: string): HostListOfferResult;
  /** Merges announcements; returns those that were news. */
  abstract mergeStatuses(
    statuses: readonly HostStatus[],
  ): readonly HostStatus[];
  abstract statuses(): readonly HostStatus[];
  /** Order-independent digest of all statuses, for anti-entropy. */
  abstract statusDigest(): bigint;
  abstract host(hostName: string): KnownHost | undefined;
  abstract hostsOf(service: string): readonly KnownHost[];
  abstract hostsIn(availabilityZone: string): readonly KnownHost[];
  abstract readonly onDidChangeList: Event<HostList>;
  /** Fires with announcements that were news, to be passed on to peers. */
  abstract readonly onDidLearnStatuses: Event<readonly HostStatus[]>;
}
