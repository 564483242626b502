/**
 * Validates a settings file and reports all of its problems together.
 */
import {isIP, isIPv4} from 'node:net';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

import {addressField, hostNameField} from '../../version/host_list_schema.js';
import {createDocumentDecoder} from '../../version/json_document.js';
import type {Problem} from '../../version/problem.js';
import {nameField, integerField} from '../../version/schema_fields.js';
import type {ListenAddress, SettingsFile} from './settings_file.js';

/** Result of parsing a settings file. */
export type SettingsParseResult =
  | {readonly kind: 'parsed'; readonly settings: SettingsFile}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]};

const MAX_PORT = 65_535;
const HOUR_MILLIS = 3_600_000;

/** Grace period of process supervisors that do not configure one. */
const DEFAULT_GRACE_MILLIS = 10_000;

const WILDCARD_ADDRESSES: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

const loopbackAddressField = Schema.String.annotate({
  description: 'a loopback address, in 127.0.0.0/8 or ::1',
}).check(Schema.makeFilter(isLoopback));

const listenSchema = Schema.Struct({
  address: addressField,
  port: integerField({minimum: 0, maximum: MAX_PORT}),
}).annotate({description: 'an object with address and port'});

const connectSchema = Schema.Struct({
  address: addressField,
  port: integerField({minimum: 1, maximum: MAX_PORT}),
});

const platformUrlField = Schema.String.annotate({
  description:
    "'http://address:port' with an IP address and nothing after the port",
}).check(Schema.makeFilter(isPlatformUrl));

/** Schema of the settings file. */
export const settingsSchema = Schema.Struct({
  hostName: hostNameField,
  service: nameField,
  availabilityZone: nameField,
  region: nameField,
  listen: Schema.Struct({
    caller: listenSchema,
    local: Schema.Struct({
      address: loopbackAddressField,
      port: integerField({minimum: 0, maximum: MAX_PORT}),
    }),
    peer: listenSchema,
    admin: listenSchema,
  }).annotate({description: 'an object with caller, local, peer and admin'}),
  upstream: connectSchema,
  platformUrl: platformUrlField,
  graceMillis: integerField(
    {minimum: 1000, maximum: HOUR_MILLIS},
    'milliseconds',
  ).pipe(Schema.withDecodingDefaultKey(Effect.succeed(DEFAULT_GRACE_MILLIS))),
});

const decodeSettings = createDocumentDecoder(settingsSchema);

/** Parses and validates the content of a settings file. */
export function parseSettings(bytes: Uint8Array): SettingsParseResult {
  const decoded = decodeSettings(bytes);
  if (decoded.kind === 'invalid') return decoded;
  const settings: SettingsFile = decoded.value;
  const problems = [
    ...findDuplicatePorts(settings),
    ...findUpstreamLoop(settings),
  ];
  if (problems.length > 0) return {kind: 'invalid', problems};
  return {kind: 'parsed', settings};
}

function isLoopback(text: string): boolean {
  const isV4 = isIPv4(text) && text.startsWith('127.');
  return isV4 || text === '::1';
}

function isPlatformUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {host, hostname, origin} = new URL(text);
  // Comparing with the normalized form rejects paths, queries and credentials,
  // and numeric shorthand that the URL parser would turn into an address.
  const isNormalized = text === `http://${host}` || text === `${origin}/`;
  return isNormalized && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}

function findDuplicatePorts(settings: SettingsFile): readonly Problem[] {
  const listeners = Object.entries(settings.listen);
  return listeners.flatMap(([name, listener], index) => {
    const earlier = listeners
      .slice(0, index)
      .find(([, other]) => overlap(listener, other));
    if (earlier === undefined) return [];
    return [
      {
        path: `$.listen.${name}.port`,
        value: listener.port,
        allowed: `0 or a port other than that of $.listen.${earlier[0]}`,
      },
    ];
  });
}

/**
 * Reports an upstream that is one of the listeners: the node would call itself.
 */
function findUpstreamLoop(settings: SettingsFile): readonly Problem[] {
  const {upstream} = settings;
  const own = Object.entries(settings.listen).find(([, listener]) =>
    overlap(upstream, listener),
  );
  if (own === undefined) return [];
  return [
    {
      path: '$.upstream.port',
      value: upstream.port,
      allowed: `a port other than that of $.listen.${own[0]}`,
    },
  ];
}

function overlap(a: ListenAddress, b: ListenAddress): boolean {
  if (a.port === 0 || a.port !== b.port) return false;
  return (
    a.address === b.address ||
    WILDCARD_ADDRESSES.has(a.address) ||
    WILDCARD_ADDRESSES.has(b.address)
  );
}
