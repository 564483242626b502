/**
 * Settings fields of kinds that the published documents do not have.
 */
import {isIP, isIPv4} from 'node:net';

import * as Schema from 'effect/Schema';

import {wholeNumberField} from '../version/schema_fields.js';

const METRIC_PREFIX_PATTERN = /^[A-Za-z][A-Za-z0-9_.]{0,63}$/;
const LOOPBACK_V4_PREFIX = '127.';
const LOOPBACK_V6 = '::1';
const PORT_MAXIMUM = 65_535;

/** A port to bind; 0 lets the system choose. */
export const listenPortField = wholeNumberField({
  minimum: 0,
  maximum: PORT_MAXIMUM,
});

/** A port to connect to. */
export const connectPortField = wholeNumberField({
  minimum: 1,
  maximum: PORT_MAXIMUM,
});

/** An IP address that only processes of the same host can reach. */
export const loopbackAddressField = Schema.String.annotate({
  description: 'a loopback address, in 127.0.0.0/8 or ::1',
}).check(Schema.makeFilter(isLoopback));

/** Base URL of the platform's configuration service. */
export const platformUrlField = Schema.String.annotate({
  description:
    "'http://address:port' with an IP address and nothing after the port",
}).check(Schema.makeFilter(isPlatformUrl));

/** First part of every metric name. */
export const metricPrefixField = Schema.String.annotate({
  description: "1 to 64 letters, digits, '_' or '.' that start with a letter",
}).check(Schema.isPattern(METRIC_PREFIX_PATTERN));

function isLoopback(text: string): boolean {
  const isV4 = isIPv4(text) && text.startsWith(LOOPBACK_V4_PREFIX);
  return isV4 || text === LOOPBACK_V6;
}

function isPlatformUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {host, hostname, origin} = new URL(text);
  // Comparing with the rebuilt form refuses paths, queries and credentials,
  // and numeric shorthand that the URL parser would turn into an address.
  const isPlain = text === `http://${host}` || text === `${origin}/`;
  return isPlain && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
}
