/**
 * A fleet on the platform that ends with its test.
 */
import type {ExecutionContext} from 'ava';
import type {FleetOptions, PlatformFleet} from './platform_fleet.js';
import {startPlatformFleet} from './platform_fleet.js';

/** Starts a fleet and closes it when the test is over. */
export async function startFleet(
  t: ExecutionContext,
  options: FleetOptions,
): Promise<PlatformFleet> {
  const fleet = await startPlatformFleet(options);
  t.teardown(() => fleet.close());
  return fleet;
}
