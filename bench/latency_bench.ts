/**
 * Measures the latency that nodes add: the same requests are sent directly to an upstream,
 * through its own node, and through two nodes.
 */
import http from 'node:http';
import type {FleetHost} from '../test/fakes/platform_fleet.js';
import {FLEET_HOST_NAME} from '../test/fakes/fleet_client.js';
import {createPath, startPlatformFleet} from '../test/fakes/platform_fleet.js';

/** Requests of each variant, and the ratio of additional requests to warm up. */
const REQUESTS_COUNT = 3000;
const WARM_UP_RATIO = 0.1;

interface Variant {
  readonly name: string;
  readonly address: string;
  readonly port: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** Alternates the variants request by request, so that the machine's load affects all alike. */
export async function measureLatency(): Promise<readonly string[]> {
  const fleet = await startPlatformFleet({
    services: ['atlas', 'orders'],
    paths: [createPath()],
  });
  const [atlas, orders] = fleet.hosts as readonly [FleetHost, FleetHost];
  const variants: readonly Variant[] = [
    {
      name: 'direct',
      address: orders.address,
      port: fleet.appPort,
      headers: {'expect-instance': orders.upstream.id},
    },
    {
      name: 'one node',
      address: orders.address,
      port: fleet.outboundPort,
      headers: {},
    },
    {
      name: 'two nodes',
      address: atlas.address,
      port: fleet.outboundPort,
      headers: {},
    },
  ];
  const samples = new Map(
    variants.map(variant => [variant.name, [] as number[]]),
  );
  const agent = new http.Agent({keepAlive: true});
  const warmUpCount = REQUESTS_COUNT * WARM_UP_RATIO;
  for (let index = 0; index < REQUESTS_COUNT + warmUpCount; index += 1) {
    for (const variant of variants) {
      const millis = await timeRequest(
        variant,
        agent,
        `${variant.name}-${String(index)}`,
      );
      if (index >= warmUpCount) samples.get(variant.name)?.push(millis);
    }
  }
  await fleet.close();
  return report(variants, samples);
}

function timeRequest(
  variant: Variant,
  agent: http.Agent,
  id: string,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const startMillis = performance.now();
    const request = http.get({
      agent,
      host: variant.address,
      port: variant.port,
      path: '/a/1',
      headers: {
        host: FLEET_HOST_NAME,
        'attempt-id': id.replaceAll(' ', '-'),
        'timeout-ms': '5000',
        ...variant.headers,
      },
    });
    request.on('error', reject);
    request.on('response', response => {
      response.resume();
      response.on('end', () => {
        resolve(performance.now() - startMillis);
      });
    });
  });
}

function report(
  variants: readonly Variant[],
  samples: ReadonlyMap<string, readonly number[]>,
): readonly string[] {
  const direct = quantiles(samples.get('direct') ?? []);
  return variants.map(({name}) => {
    const {p50, p99} = quantiles(samples.get(name) ?? []);
    const added = `added p50 ${(p50 - direct.p50).toFixed(2)} ms, p99 ${(p99 - direct.p99).toFixed(2)} ms`;
    const ratio = `${(p50 / direct.p50).toFixed(2)} times direct`;
    return `latency ${name}: p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms; ${added}; ${ratio}`;
  });
}

function quantiles(values: readonly number[]): {p50: number; p99: number} {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (ratio: number): number =>
    sorted[Math.floor(sorted.length * ratio)] ?? 0;
  return {p50: at(0.5), p99: at(0.99)};
}
