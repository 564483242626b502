/**
 * Checks a settings file whole and reports every problem in one go.
 */
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

import {addressField, hostNameField} from '../version/host_list_schema.js';
import {createDocumentDecoder} from '../version/json_document.js';
import type {Problem} from '../version/problem.js';
import {
  listField,
  nameField,
  wholeNumberField,
  wordField,
} from '../version/schema_fields.js';
import type {Settings} from './settings.js';
import {findConflicts} from './settings_conflicts.js';
import {
  DEFAULT_CONTROL,
  DEFAULT_LIMITS,
  DEFAULT_LOG,
  DEFAULT_METRICS_PREFIX,
} from './settings_defaults.js';
import {
  connectPortField,
  listenPortField,
  loopbackAddressField,
  metricPrefixField,
  platformUrlField,
} from './settings_fields.js';

/** What became of a settings file. */
export type SettingsParseResult =
  | {readonly kind: 'parsed'; readonly settings: Settings}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]};

const MINUTE_MILLIS = 60_000;
const HOUR_MILLIS = 60 * MINUTE_MILLIS;
const MAX_CONNECTIONS = 65_536;
const MAX_SEED_PEERS = 64;
const MAX_STREAMS = 16;

const listenSchema = Schema.Struct({
  address: addressField,
  port: listenPortField,
}).annotate({description: 'an object with address and port'});

const listenersSchema = Schema.Struct({
  caller: listenSchema,
  local: Schema.Struct({
    address: loopbackAddressField,
    port: listenPortField,
  }),
  peer: listenSchema,
  control: listenSchema,
  admin: listenSchema,
}).annotate({
  description: 'an object with caller, local, peer, control and admin',
});

const seedPeerSchema = Schema.Struct({
  hostName: hostNameField,
  address: addressField,
  controlPort: connectPortField,
});

const limitsSchema = Schema.Struct({
  callerConnectionsCount: withDefault(
    wholeNumberField({minimum: 1, maximum: MAX_CONNECTIONS}, 'connections'),
    DEFAULT_LIMITS.callerConnectionsCount,
  ),
  peerConnectionsCount: withDefault(
    wholeNumberField({minimum: 1, maximum: MAX_CONNECTIONS}, 'connections'),
    DEFAULT_LIMITS.peerConnectionsCount,
  ),
  requestsInProgressCount: withDefault(
    wholeNumberField({minimum: 1, maximum: MAX_CONNECTIONS}, 'requests'),
    DEFAULT_LIMITS.requestsInProgressCount,
  ),
  headerBytes: withDefault(
    wholeNumberField({minimum: 1024, maximum: 1_048_576}, 'bytes'),
    DEFAULT_LIMITS.headerBytes,
  ),
  idleConnectionMillis: withDefault(
    millisField(1000),
    DEFAULT_LIMITS.idleConnectionMillis,
  ),
  socketsPerPeerCount: withDefault(
    wholeNumberField({minimum: 1, maximum: 1024}, 'sockets'),
    DEFAULT_LIMITS.socketsPerPeerCount,
  ),
});

const controlSchema = Schema.Struct({
  heartbeatMillis: withDefault(
    millisField(50),
    DEFAULT_CONTROL.heartbeatMillis,
  ),
  zonePeersCount: withDefault(
    wholeNumberField({minimum: 1, maximum: MAX_STREAMS}, 'peers'),
    DEFAULT_CONTROL.zonePeersCount,
  ),
  remotePeersCount: withDefault(
    wholeNumberField({minimum: 0, maximum: MAX_STREAMS}, 'peers'),
    DEFAULT_CONTROL.remotePeersCount,
  ),
  zoneReadersCount: withDefault(
    wholeNumberField({minimum: 1, maximum: MAX_STREAMS}, 'nodes'),
    DEFAULT_CONTROL.zoneReadersCount,
  ),
  peerSilenceMillis: withDefault(
    millisField(100),
    DEFAULT_CONTROL.peerSilenceMillis,
  ),
  platformWatchMillis: withDefault(
    millisField(100),
    DEFAULT_CONTROL.platformWatchMillis,
  ),
});

const logSchema = Schema.Struct({
  level: withDefault(
    wordField(['debug', 'info', 'warn', 'error']),
    DEFAULT_LOG.level,
  ),
});

const metricsSchema = Schema.Struct({
  statsdAddress: addressField,
  statsdPort: connectPortField,
  prefix: withDefault(metricPrefixField, DEFAULT_METRICS_PREFIX),
});

/** Shape of the settings file; groups with defaults may be left out. */
export const settingsSchema = Schema.Struct({
  hostName: hostNameField,
  service: nameField,
  availabilityZone: nameField,
  region: nameField,
  listen: listenersSchema,
  upstream: Schema.Struct({address: addressField, port: connectPortField}),
  platformUrl: platformUrlField,
  seedPeers: withDefault(
    listField(
      seedPeerSchema,
      {minimum: 0, maximum: MAX_SEED_PEERS},
      'seed peers',
    ),
    [],
  ),
  limits: withDefault(limitsSchema, DEFAULT_LIMITS),
  control: withDefault(controlSchema, DEFAULT_CONTROL),
  log: withDefault(logSchema, DEFAULT_LOG),
  metrics: Schema.optionalKey(metricsSchema),
});

const decodeSettings = createDocumentDecoder(settingsSchema);

/** Checks the content of a settings file. */
export function parseSettings(bytes: Uint8Array): SettingsParseResult {
  const decoded = decodeSettings(bytes);
  if (decoded.kind === 'invalid') return decoded;
  const settings: Settings = decoded.value;
  const problems = findConflicts(settings);
  if (problems.length > 0) return {kind: 'invalid', problems};
  return {kind: 'parsed', settings};
}

function millisField(minimum: number) {
  return wholeNumberField({minimum, maximum: HOUR_MILLIS}, 'milliseconds');
}

function withDefault<S extends Schema.Top>(
  field: S,
  defaultValue: S['Encoded'],
) {
  return field.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(defaultValue)),
  );
}
