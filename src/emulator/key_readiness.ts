/**
 * When hosts that have just started may execute keyed requests.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {BaseError} from '../base/errors.js';
import {settlingMillis} from '../process/view_acceptor.js';
import type {Policy} from '../version/policy.js';
import type {Fleet} from './fleet_launcher.js';
import {waitFor} from './wait_for.js';

/** Time in which a lease seen as held may have been taken. */
const POLL_MARGIN_MILLIS = 200;

/**
 * Waits until hosts hold their lease, and then for the time in which they
 * still have to assume that an earlier executor is at work.
 */
export async function waitForKeyedWork(
  fleet: Fleet,
  policy: Policy,
  hostNames: readonly string[],
  limitMillis: number,
): Promise<void> {
  for (const name of hostNames) {
    if (!takesKeys(policy, fleet.host(name).identity.service)) continue;
    if (await waitFor(limitMillis, () => fleet.isLeaseHeld(name))) continue;
    throw new BaseError(`${name} holds no lease`, {
      props: {step: 'wait-for-lease', peer: name},
    });
  }
  // A key counts as new if it is younger than the end of that time by twice
  // the clock bound.
  const marginMillis = 2 * policy.keys.clockBoundMillis + POLL_MARGIN_MILLIS;
  await sleep(settlingMillis(policy.keys) + marginMillis);
}

function takesKeys(policy: Policy, service: string): boolean {
  const routes = policy.services.find(({name}) => name === service)?.routes;
  return routes?.some(route => route.isKeyRequired) === true;
}
