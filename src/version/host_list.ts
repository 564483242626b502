/**
 * The platform's published list of live and leaving hosts.
 */

/** Whether the platform regards a host as in service. */
export type PublishedHostState = 'live' | 'leaving';

/** One upstream host and the addresses of its node. */
export interface PublishedHost {
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  /** IP address of the host. */
  readonly address: string;
  /** Port of the node for calls from other nodes. */
  readonly peerPort: number;
  readonly state: PublishedHostState;
}

/** The list as published, with an increasing revision. */
export interface HostList {
  readonly revision: number;
  readonly hosts: readonly PublishedHost[];
}
