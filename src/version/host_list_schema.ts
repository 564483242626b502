/**
 * Schema and validation of the host list that the platform publishes.
 */
import {isIP} from 'node:net';
import * as Schema from 'effect/Schema';
import type {HostList, PublishedHost} from './host_list.js';
import {createDocumentDecoder} from './json_document.js';
import {findDuplicateNames} from './duplicate_checks.js';
import type {Problem} from './problem.js';
import {
  listField,
  nameField,
  integerField,
  enumField,
} from './schema_fields.js';

const MAX_HOSTS = 4_096;
const MAX_PORT = 65_535;

/** Name of an upstream host. */
export const hostNameField = Schema.String.annotate({
  description:
    'a host name of 1 to 253 lower-case letters, digits, hyphens and dots',
}).check(Schema.isPattern(/^[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?$/));

/**
 * IP address. Host names are rejected because a DNS lookup could fail later.
 */
export const addressField = Schema.String.annotate({
  description: 'an IP address, version 4 or 6, without a zone index',
}).check(Schema.makeFilter(isPlainIpAddress));

const portField = integerField({minimum: 1, maximum: MAX_PORT});

/** Schema of the host list. */
export const hostListSchema: Schema.Codec<HostList> = Schema.Struct({
  revision: integerField({minimum: 1, maximum: Number.MAX_SAFE_INTEGER}),
  hosts: listField(
    Schema.Struct({
      name: hostNameField,
      service: nameField,
      availabilityZone: nameField,
      region: nameField,
      address: addressField,
      peerPort: portField,
      state: enumField(['live', 'leaving']),
    }),
    {minimum: 0, maximum: MAX_HOSTS},
    'hosts',
  ),
});

/**
 * Rejects IPv6 zone indexes, which are only valid on the machine that uses
 * them.
 */
function isPlainIpAddress(text: string): boolean {
  return isIP(text) !== 0 && !text.includes('%');
}

/** The parsed host list, or all problems found in it. */
export type HostListParseResult =
  | {readonly kind: 'parsed'; readonly list: HostList}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]};

const decodeHostList = createDocumentDecoder(hostListSchema);

/** Parses and validates a host list as published. */
export function parseHostList(documentBytes: Uint8Array): HostListParseResult {
  const decoded = decodeHostList(documentBytes);
  if (decoded.kind === 'invalid') return decoded;
  const problems = findHostProblems(decoded.value.hosts);
  if (problems.length > 0) return {kind: 'invalid', problems};
  return {kind: 'parsed', list: decoded.value};
}

/**
 * Two hosts with the same endpoint would receive each other's calls, and a zone
 * in two regions would be both local and remote.
 */
function findHostProblems(hosts: readonly PublishedHost[]): readonly Problem[] {
  return [
    ...findDuplicateNames('$.hosts', hosts),
    ...findSharedEndpoints(hosts),
    ...findSplitZones(hosts),
  ];
}

function findSharedEndpoints(
  hosts: readonly PublishedHost[],
): readonly Problem[] {
  const firstPaths = new Map<string, string>();
  const problems: Problem[] = [];
  hosts.forEach((host, index) => {
    const path = `$.hosts[${String(index)}].peerPort`;
    const endpoint = `${host.address} port ${String(host.peerPort)}`;
    const firstPath = firstPaths.get(endpoint);
    if (firstPath === undefined) {
      firstPaths.set(endpoint, path);
      return;
    }
    const allowed = `an address and port that differ from ${firstPath}`;
    problems.push({path, value: endpoint, allowed});
  });
  return problems;
}

function findSplitZones(hosts: readonly PublishedHost[]): readonly Problem[] {
  const regions = new Map<string, string>();
  return hosts.flatMap((host, index) => {
    const region = regions.get(host.availabilityZone) ?? host.region;
    regions.set(host.availabilityZone, region);
    if (region === host.region) return [];
    return [
      {
        path: `$.hosts[${String(index)}].region`,
        value: host.region,
        allowed: `${region}, the region of availability zone ${host.availabilityZone} so far`,
      },
    ];
  });
}
