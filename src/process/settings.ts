/**
 * Per-process settings of the daemon, as validated.
 */

/** An address a listener binds to; port 0 lets the system choose. */
export interface ListenAddress {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** All listeners of one node. */
export interface ListenSettings {
  /** HTTP/1.1 for callers of the availability zone. */
  readonly caller: ListenAddress;
  /** HTTP/1.1 for calls the local upstream makes; loopback only. */
  readonly local: ListenAddress;
  /** HTTP/1.1 for calls from other nodes. */
  readonly peer: ListenAddress;
  /** HTTP/2 for control traffic between nodes. */
  readonly control: ListenAddress;
  /** HTTP/1.1 for operators; reads only. */
  readonly admin: ListenAddress;
}

/** A peer to contact before any host list is known. */
export interface SeedPeer {
  readonly hostName: string;
  readonly address: string;
  readonly controlPort: number;
}

/** Bounds that protect the process itself. */
export interface ProcessLimits {
  readonly callerConnectionsCount: number;
  readonly peerConnectionsCount: number;
  /** Requests in progress over all listeners. */
  readonly requestsInProgressCount: number;
  readonly headerBytes: number;
  /** Idle time after which a caller or upstream connection is closed. */
  readonly idleConnectionMillis: number;
  /** Sockets kept to one other node. */
  readonly socketsPerPeerCount: number;
}

/** Control traffic of the node. */
export interface ControlSettings {
  readonly heartbeatMillis: number;
  /** Streams opened to peers of the own availability zone. */
  readonly zonePeersCount: number;
  /** Streams opened to peers of other availability zones. */
  readonly remotePeersCount: number;
  /** Nodes per availability zone that watch the platform. */
  readonly zoneReadersCount: number;
  /** Longest silence of a peer stream before it is replaced. */
  readonly peerSilenceMillis: number;
  /** Waiting time of one watch at the platform. */
  readonly platformWatchMillis: number;
}

/** Where logs go and how much. */
export interface LogSettings {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
}

/** StatsD receiver for metrics; absent when metrics are only kept in memory. */
export interface MetricsSettings {
  readonly statsdAddress: string;
  readonly statsdPort: number;
  readonly prefix: string;
}

/** The whole settings file. */
export interface Settings {
  readonly hostName: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly listen: ListenSettings;
  /** The upstream on this host. */
  readonly upstream: ListenAddress;
  /** The platform's configuration service; `http://address:port`. */
  readonly platformUrl: string;
  readonly seedPeers: readonly SeedPeer[];
  readonly limits: ProcessLimits;
  readonly control: ControlSettings;
  readonly log: LogSettings;
  readonly metrics?: MetricsSettings | undefined;
}
