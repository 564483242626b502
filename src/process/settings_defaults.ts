/**
 * Values of settings fields that a settings file leaves out.
 */
import type {
  ControlSettings,
  LogSettings,
  MetricsSettings,
  ProcessLimits,
} from './settings.js';

/** Bounds of a node that faces up to 830 peers and one upstream. */
export const DEFAULT_LIMITS: ProcessLimits = {
  callerConnectionsCount: 1024,
  peerConnectionsCount: 2048,
  requestsInProgressCount: 1024,
  headerBytes: 16_384,
  idleConnectionMillis: 60_000,
  socketsPerPeerCount: 8,
};

/** Control traffic whose cost does not grow with the fleet. */
export const DEFAULT_CONTROL: ControlSettings = {
  heartbeatMillis: 1000,
  zonePeersCount: 3,
  remotePeersCount: 1,
  zoneReadersCount: 3,
  peerSilenceMillis: 5000,
  platformWatchMillis: 5_000,
};

/** Changes of state and worse. */
export const DEFAULT_LOG: LogSettings = {level: 'info'};

/** Prefix of every metric name sent to StatsD. */
export const DEFAULT_METRICS_PREFIX: MetricsSettings['prefix'] = 'fulmarhollow';
