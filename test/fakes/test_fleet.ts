/**
 * Platform fleet that is closed when the test ends.
 */
import type {ExecutionContext} from 'ava';
import type {FleetOptions, PlatformFleet} from './platform_fleet.js';
import {startPlatformFleet} from './platform_fleet.js';

export async function startFleet(
  t: ExecutionContext,
  options: FleetOptions,
): Promise<PlatformFleet> {
  const fleet = await startPlatformFleet(options);
  t.teardown(() => fleet.close());
  return fleet;
}
