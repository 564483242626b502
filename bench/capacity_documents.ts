/**
 * Host lists and policy documents of any size for capacity measurements.
 */
import {hash64} from '../src/base/hash.js';
import type {HostList, PublishedHost} from '../src/version/host_list.js';
import type {Policy, Route, Service} from '../src/version/policy.js';
import {createSmallPolicy} from '../src/emulator/small_deployment.js';

/** The deployment to design for. */
export const TARGET = {
  hostsCount: 830,
  servicesCount: 34,
  zonesCount: 10,
  regionsCount: 3,
  callsPerSecond: 42_000,
  changesPerDay: 1_600,
} as const;

/** Routes of one service in a policy of the target's size. */
const TARGET_ROUTES_COUNT = 8;

/** Name of the zone of a host by its number. */
export function zoneOf(index: number): string {
  return `zone-${String(index % TARGET.zonesCount)}`;
}

/** Name of the region of a host by its number; zones are spread 4, 3, 3. */
export function regionOf(index: number): string {
  return `region-${String((index % TARGET.zonesCount) % TARGET.regionsCount)}`;
}

/** Path of a request that the first route of a service answers. */
export function firstPathOf(service: Service): string {
  return (service.routes[0]?.path ?? '').replace(':id', '7');
}

/** Name of a service by its number. */
export function serviceOf(index: number): string {
  return `service-${String(index)}`;
}

/** A list with hosts spread over zones and services; `seed` varies the names. */
export function createHostList(
  hostsCount: number,
  revision: number,
  seed = 'host',
): HostList {
  const hosts: PublishedHost[] = [];
  for (let index = 0; index < hostsCount; index += 1) {
    hosts.push({
      name: `${seed}-${String(index)}`,
      // A zone has every service: the service changes with each round of zones.
      service: serviceOf(
        Math.floor(index / TARGET.zonesCount) % TARGET.servicesCount,
      ),
      availabilityZone: zoneOf(index),
      region: regionOf(index),
      address: `10.0.${String(index >> 8)}.${String(index & 255)}`,
      peerPort: 7001,
      controlPort: 7002,
      state: 'live',
    });
  }
  return {revision, hosts};
}

/** A policy with as many services and routes as asked for. */
export function createPolicy(
  version: number,
  servicesCount: number,
  routesCount: number,
): Policy {
  return {
    ...createSmallPolicy(TARGET.zonesCount),
    version,
    services: Array.from({length: servicesCount}, (_, index) =>
      createService(serviceOf(index), routesCount),
    ),
  };
}

/** A policy of the target's number of services, as published. */
export function createTargetPolicyBytes(version: number): Uint8Array {
  const {servicesCount} = TARGET;
  return encode(createPolicy(version, servicesCount, TARGET_ROUTES_COUNT));
}

/** A policy document of about so many bytes, at most a megabyte. */
export function createPolicyOfBytes(
  version: number,
  documentBytes: number,
): Uint8Array {
  const {servicesCount} = TARGET;
  const sizeOf = (routesCount: number): number =>
    encode(createPolicy(version, servicesCount, routesCount)).byteLength;
  const routeBytes = sizeOf(2) - sizeOf(1);
  const fixedBytes = sizeOf(1) - routeBytes;
  const routesCount = Math.floor((documentBytes - fixedBytes) / routeBytes);
  if (routesCount >= 1) {
    return encode(createPolicy(version, servicesCount, routesCount));
  }
  const share = documentBytes / (fixedBytes + routeBytes);
  const fewer = Math.max(1, Math.floor(servicesCount * share));
  return encode(createPolicy(version, fewer, 1));
}

/** JSON in UTF-8. */
export function encode(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

function createService(name: string, routesCount: number): Service {
  const routes = Array.from({length: routesCount}, (_, index) =>
    createRoute(`${name}-${String(index)}`),
  );
  return {
    name,
    slotsCount: 80,
    connectionsCount: 570,
    queueCount: 160,
    queueWaitMillis: 500,
    progressTimeoutMillis: 2000,
    routes,
  };
}

/** Names without a pattern, or compression would flatter the figures. */
function createRoute(seed: string): Route {
  const word = hash64(seed).toString(36).padStart(13, '0');
  return {
    name: `r${word}`,
    method: 'GET',
    path: `/${word}/:id`,
    className: 'records',
    repeat: 'safe',
    isKeyRequired: false,
    deadlineMillis: 4000,
    retryBound: 3,
  };
}
