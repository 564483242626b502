/**
 * Contents of the settings file of a node that uses the project's own
 * documents.
 */

/** Address that a listener binds to; port 0 selects a free port. */
export interface ListenAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** Listeners of one node. */
export interface ListenSettings {
  /** Requests of callers in the availability zone. */
  readonly caller: ListenAddress;
  /** Requests of the upstream on this host; loopback only. */
  readonly local: ListenAddress;
  /** Requests of other nodes. */
  readonly peer: ListenAddress;
  /** Read requests of operators. */
  readonly admin: ListenAddress;
}

export interface SettingsFile {
  readonly hostName: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly listen: ListenSettings;
  /** The upstream on this host. */
  readonly upstream: ListenAddress;
  /** URL of the configuration service: `http://address:port`. */
  readonly platformUrl: string;
  /** Maximum time from SIGTERM until the process exits. */
  readonly graceMillis: number;
}
