/**
 * Plan of a small fleet that runs on this machine.
 */
import type {Policy} from '../version/policy.js';
import type {UpstreamRoute} from './upstream_config.js';

/** The hosts of one service. */
export interface ServicePlan {
  readonly service: string;
  readonly hostsPerZoneCount: number;
  /** Routes that each upstream of the service serves. */
  readonly routes: readonly UpstreamRoute[];
  /** Actual slots of an upstream; those stated in the policy if absent. */
  readonly slotsCount?: number | undefined;
}

/** The program that runs as the daemon of every host. */
export interface DaemonProgram {
  /** Path of a JavaScript file. */
  readonly file: string;
  /** Arguments before `--settings`. */
  readonly args: readonly string[];
  /** Arguments of the Node.js runtime. */
  readonly nodeArgs?: readonly string[] | undefined;
}

/** A fleet; the policy defines its availability zones. */
export interface FleetPlan {
  readonly policy: Policy;
  readonly services: readonly ServicePlan[];
  /** Whether a FaultyLink is opened in front of peer and upstream ports. */
  readonly hasLinks: boolean;
  /** `daemon/main.js` if absent. */
  readonly daemonProgram?: DaemonProgram | undefined;
  /** Names of hosts that are initially neither started nor published. */
  readonly spareHosts?: readonly string[] | undefined;
}

/** Identity of one host of a plan. */
export interface HostIdentity {
  readonly name: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly region: string;
}

/** Lists the hosts of a plan, named `service-zone-number` with numbers from 1. */
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
