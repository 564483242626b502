/**
 * Host list published by the platform, with live and leaving hosts.
 */

/** Whether a host is in service or leaving, as published by the platform. */
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
