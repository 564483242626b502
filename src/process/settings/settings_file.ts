/**
 * Settings file of a node that runs by the product's own documents.
 */

/** An address a listener binds to; port 0 lets the system choose. */
export interface ListenAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** All listeners of one node. */
export interface ListenSettings {
  /** Requests of callers of the availability zone. */
  readonly caller: ListenAddress;
  /** Requests of the upstream on this host; loopback only. */
  readonly local: ListenAddress;
  /** Requests of other nodes. */
  readonly peer: ListenAddress;
  /** Reads by operators. */
  readonly admin: ListenAddress;
}

/** The whole settings file. */
export interface SettingsFile {
  readonly hostName: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly listen: ListenSettings;
  /** The upstream on this host. */
  readonly upstream: ListenAddress;
  /** The configuration service; `http://address:port`. */
  readonly platformUrl: string;
  /** Time from SIGTERM until the process ends at the latest. */
  readonly graceMillis: number;
}
