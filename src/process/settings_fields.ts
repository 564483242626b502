/**
 * Kinds of settings fields, each with one sentence that says what is allowed.
 */
import * as net from 'node:net';

import * as Schema from 'effect/Schema';

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const DNS_LABEL = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const METRIC_PREFIX = /^[A-Za-z][A-Za-z0-9_.]{0,63}$/;
const LOOPBACK_V4_PREFIX = '127.';
const LOOPBACK_V6 = '::1';
const PORT_MAXIMUM = 65_535;

/** A field accepted by `isAllowed`; `allowed` is what a problem report tells. */
function describedField<T>(
  allowed: string,
  isAllowed: (value: unknown) => value is T,
) {
  return Schema.declare(isAllowed, {expected: allowed}).annotateKey({
    messageMissingKey: allowed,
  });
}

/** A string accepted by `isAllowed`. */
function stringField(allowed: string, isAllowed: (text: string) => boolean) {
  return describedField(
    allowed,
    (value): value is string => typeof value === 'string' && isAllowed(value),
  );
}

/** An integer within both bounds. */
export function integerField(minimum: number, maximum: number) {
  return describedField(
    `an integer from ${minimum} to ${maximum}`,
    (value): value is number =>
      Number.isInteger(value) &&
      (value as number) >= minimum &&
      (value as number) <= maximum,
  );
}

/** One of a few words. */
export function wordField<const W extends string>(words: readonly W[]) {
  return describedField(
    `one of ${words.map(word => JSON.stringify(word)).join(', ')}`,
    (value): value is W => words.some(word => word === value),
  );
}

/** Name of a host, availability zone or region. */
export function nameField() {
  return stringField(
    "1 to 128 letters, digits, '.', '_' or '-', the first a letter or digit",
    text => NAME.test(text),
  );
}

/** Name of a service; the first label of a caller's Host header. */
export function serviceField() {
  return stringField("1 to 63 lower-case letters, digits or inner '-'", text =>
    DNS_LABEL.test(text),
  );
}

/** An IP address; names are refused because looking them up can fail later. */
export function ipAddressField() {
  return stringField('an IPv4 or IPv6 address, not a name', isIpAddress);
}

/** An IP address that only processes of the same host can reach. */
export function loopbackAddressField() {
  return stringField(
    'a loopback address (127.0.0.0/8 or ::1)',
    text =>
      (net.isIPv4(text) && text.startsWith(LOOPBACK_V4_PREFIX)) ||
      text === LOOPBACK_V6,
  );
}

/** A port to bind; 0 lets the system choose. */
export function listenPortField() {
  return integerField(0, PORT_MAXIMUM);
}

/** A port to connect to. */
export function connectPortField() {
  return integerField(1, PORT_MAXIMUM);
}

/** Base URL of the platform's configuration service. */
export function platformUrlField() {
  return stringField(
    "'http://address:port' with an IP address and nothing after the port",
    isPlatformUrl,
  );
}

/** First part of every metric name. */
export function metricPrefixField() {
  return stringField(
    "1 to 64 letters, digits, '_' or '.', the first a letter",
    text => METRIC_PREFIX.test(text),
  );
}

function isIpAddress(text: string): boolean {
  // A zone index such as `%eth0` is accepted by `isIP` but not by URLs.
  return net.isIP(text) !== 0 && !text.includes('%');
}

function isPlatformUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  // Comparing with the rebuilt form refuses paths, queries and credentials,
  // and numeric shorthand that the URL parser would turn into an address.
  const isPlain = text === `http://${url.host}` || text === `${url.origin}/`;
  return isPlain && net.isIP(url.hostname.replace(/^\[|\]$/g, '')) !== 0;
}
