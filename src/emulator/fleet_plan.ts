/**
 * Description of a small fleet to start on this machine.
 */
import type {Policy} from '../version/policy.js';
import type {UpstreamRoute} from './upstream_config.js';

/** The hosts of one service. */
export interface ServicePlan {
  readonly service: string;
  readonly hostsPerZoneCount: number;
  /** Behaviour of each of its upstreams. */
  readonly routes: readonly UpstreamRoute[];
  /** Slots an upstream really has; those of the policy when absent. */
  readonly slotsCount?: number | undefined;
}

/** The program that runs as daemon of every host. */
export interface DaemonProgram {
  /** JavaScript file. */
  readonly file: string;
  /** Arguments besides the settings file. */
  readonly args: readonly string[];
  /** Arguments of the runtime. */
  readonly nodeArgs?: readonly string[] | undefined;
}

/** A fleet; its availability zones are those of the policy. */
export interface FleetPlan {
  readonly policy: Policy;
  readonly services: readonly ServicePlan[];
  /** Puts a relay in front of peer and upstream ports. */
  readonly hasLinks: boolean;
  /** The product's own daemon when absent. */
  readonly daemonProgram?: DaemonProgram | undefined;
  /** Hosts that are neither started nor published at first. */
  readonly spareHosts?: readonly string[] | undefined;
}

/** Identity of one host of a plan. */
export interface HostIdentity {
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
}

/** Lists the hosts of a plan, named `service-zone-number` counting from 1. */
export function listHosts(plan: FleetPlan): readonly HostIdentity[] {
  return plan.policy.availabilityZones.flatMap(zone =>
    plan.services.flatMap(({service, hostsPerZoneCount}) =>
      Array.from({length: hostsPerZoneCount}, (_, i) => ({
        name: `${service}-${zone.name}-${String(i + 1)}`,
        service,
        availabilityZone: zone.name,
        region: zone.region,
      })),
    ),
  );
}
