/**
 * Checks a settings file whole and reports every problem in one go.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';

import {describeError} from '../base/errors.js';
import type {Settings} from './settings.js';
import {
  DEFAULT_CONTROL,
  DEFAULT_LIMITS,
  DEFAULT_LOG,
  DEFAULT_METRICS_PREFIX,
} from './settings_defaults.js';
import {
  connectPortField,
  integerField,
  ipAddressField,
  listenPortField,
  loopbackAddressField,
  metricPrefixField,
  nameField,
  platformUrlField,
  serviceField,
  wordField,
} from './settings_fields.js';
import {findConflicts} from './settings_conflicts.js';
import type {SettingsProblem} from './settings_problem.js';
import {describeIssues} from './settings_problem.js';

/** What became of a settings file. */
export type SettingsParseResult =
  | {readonly kind: 'parsed'; readonly settings: Settings}
  | {readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[]};

/** Largest settings file that is read. */
export const SETTINGS_MAXIMUM_BYTES = 262_144;

const SEED_PEERS_MAXIMUM_COUNT = 64;
const MINUTE_MILLIS = 60_000;
const HOUR_MILLIS = 60 * MINUTE_MILLIS;

const ListenSchema = Schema.Struct({
  address: ipAddressField(),
  port: listenPortField(),
}).annotateKey({messageMissingKey: 'an object with address and port'});

const LocalListenSchema = Schema.Struct({
  address: loopbackAddressField(),
  port: listenPortField(),
}).annotateKey({messageMissingKey: 'an object with address and port'});

const UpstreamSchema = Schema.Struct({
  address: ipAddressField(),
  port: connectPortField(),
}).annotateKey({messageMissingKey: 'an object with address and port'});

const ListenersSchema = Schema.Struct({
  caller: ListenSchema,
  local: LocalListenSchema,
  peer: ListenSchema,
  control: ListenSchema,
  admin: ListenSchema,
}).annotateKey({
  messageMissingKey: 'an object with caller, local, peer, control and admin',
});

const SeedPeerSchema = Schema.Struct({
  hostName: nameField(),
  address: ipAddressField(),
  controlPort: connectPortField(),
});

const LimitsSchema = Schema.Struct({
  callerConnectionsCount: withDefault(
    integerField(1, 65_536),
    DEFAULT_LIMITS.callerConnectionsCount,
  ),
  peerConnectionsCount: withDefault(
    integerField(1, 65_536),
    DEFAULT_LIMITS.peerConnectionsCount,
  ),
  requestsInProgressCount: withDefault(
    integerField(1, 65_536),
    DEFAULT_LIMITS.requestsInProgressCount,
  ),
  headerBytes: withDefault(
    integerField(1024, 1_048_576),
    DEFAULT_LIMITS.headerBytes,
  ),
  idleConnectionMillis: withDefault(
    integerField(1000, HOUR_MILLIS),
    DEFAULT_LIMITS.idleConnectionMillis,
  ),
  socketsPerPeerCount: withDefault(
    integerField(1, 1024),
    DEFAULT_LIMITS.socketsPerPeerCount,
  ),
});

const ControlSchema = Schema.Struct({
  heartbeatMillis: withDefault(
    integerField(50, MINUTE_MILLIS),
    DEFAULT_CONTROL.heartbeatMillis,
  ),
  zonePeersCount: withDefault(
    integerField(1, 16),
    DEFAULT_CONTROL.zonePeersCount,
  ),
  remotePeersCount: withDefault(
    integerField(0, 16),
    DEFAULT_CONTROL.remotePeersCount,
  ),
  zoneReadersCount: withDefault(
    integerField(1, 16),
    DEFAULT_CONTROL.zoneReadersCount,
  ),
  peerSilenceMillis: withDefault(
    integerField(100, HOUR_MILLIS),
    DEFAULT_CONTROL.peerSilenceMillis,
  ),
  platformWatchMillis: withDefault(
    integerField(100, HOUR_MILLIS),
    DEFAULT_CONTROL.platformWatchMillis,
  ),
});

const LogSchema = Schema.Struct({
  level: withDefault(
    wordField(['debug', 'info', 'warn', 'error']),
    DEFAULT_LOG.level,
  ),
});

const MetricsSchema = Schema.Struct({
  statsdAddress: ipAddressField(),
  statsdPort: connectPortField(),
  prefix: withDefault(metricPrefixField(), DEFAULT_METRICS_PREFIX),
});

const SettingsSchema = Schema.Struct({
  hostName: nameField(),
  service: serviceField(),
  availabilityZone: nameField(),
  region: nameField(),
  listen: ListenersSchema,
  upstream: UpstreamSchema,
  platformUrl: platformUrlField(),
  seedPeers: withDefault(
    Schema.Array(SeedPeerSchema).check(
      Schema.makeFilter(peers => peers.length <= SEED_PEERS_MAXIMUM_COUNT, {
        expected: `at most ${SEED_PEERS_MAXIMUM_COUNT} peers`,
      }),
    ),
    [],
  ),
  limits: withDefault(LimitsSchema, DEFAULT_LIMITS),
  control: withDefault(ControlSchema, DEFAULT_CONTROL),
  log: withDefault(LogSchema, DEFAULT_LOG),
  metrics: Schema.optionalKey(MetricsSchema),
});

const decodeSettings = Schema.decodeUnknownResult(SettingsSchema, {
  errors: 'all',
  onExcessProperty: 'error',
});

/** Checks the content of a settings file. */
export function parseSettings(bytes: Uint8Array): SettingsParseResult {
  if (bytes.byteLength > SETTINGS_MAXIMUM_BYTES) {
    return wholeFileProblem(
      `${bytes.byteLength} bytes`,
      `at most ${SETTINGS_MAXIMUM_BYTES} bytes`,
    );
  }
  let document: unknown;
  try {
    document = JSON.parse(
      new TextDecoder('utf-8', {fatal: true}).decode(bytes),
    );
  } catch (error) {
    return wholeFileProblem(
      `${bytes.byteLength} bytes`,
      `JSON in UTF-8; ${describeError(error)}`,
    );
  }
  return parseDocument(document);
}

function parseDocument(document: unknown): SettingsParseResult {
  const result = decodeSettings(document);
  if (Result.isFailure(result)) {
    return {
      kind: 'invalid',
      problems: describeIssues(result.failure.issue, document),
    };
  }
  const settings: Settings = result.success;
  const problems = findConflicts(settings);
  if (problems.length > 0) return {kind: 'invalid', problems};
  return {kind: 'parsed', settings};
}

function wholeFileProblem(value: string, allowed: string): SettingsParseResult {
  return {kind: 'invalid', problems: [{field: 'settings', value, allowed}]};
}

function withDefault<S extends Schema.Top>(
  field: S,
  defaultValue: S['Encoded'],
) {
  return field.pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(defaultValue)),
  );
}
