/**
 * Template for a new policy document.
 */
import type {AvailabilityZone, Policy} from '../version/policy.js';

/** Values that the operator provides. */
export interface StartingPolicyOptions {
  readonly deployment: string;
  readonly availabilityZones: readonly AvailabilityZone[];
}

/** Creates a document with one service that has a route for each retry rule. */
export function createStartingPolicy(options: StartingPolicyOptions): Policy {
  return {
    formatVersion: 1,
    version: 1,
    deployment: options.deployment,
    availabilityZones: options.availabilityZones,
    classes: [
      {name: 'orders', reservedRatio: 0.15},
      {name: 'lookups', reservedRatio: 0.1},
      {name: 'background', reservedRatio: 0},
    ],
    services: [
      {
        name: 'frontdesk',
        slotsCount: 50,
        connectionsCount: 400,
        queueCount: 50,
        queueWaitMillis: 200,
        progressTimeoutMillis: 1_000,
        routes: [
          {
            name: 'place-order',
            method: 'POST',
            path: '/orders',
            className: 'orders',
            repeat: 'never',
            deadlineMillis: 4_000,
            retryBound: 2,
            isPublic: false,
          },
          {
            name: 'read-order',
            method: 'GET',
            path: '/orders/:orderId',
            className: 'lookups',
            repeat: 'safe',
            deadlineMillis: 2_000,
            retryBound: 2,
            isPublic: false,
          },
          {
            name: 'rebuild-index',
            method: 'POST',
            path: '/index-rebuilds',
            className: 'background',
            repeat: 'idempotent',
            deadlineMillis: 30_000,
            retryBound: 0,
            isPublic: false,
          },
        ],
      },
    ],
    organisations: [],
    retryBudget: {ratio: 0.1, minimumPerSecond: 1},
    bodies: {requestBytes: 1_048_576, bufferedAnswerBytes: 262_144},
    ejection: {
      consecutiveFailuresCount: 5,
      ejectionMillis: 5_000,
      floorRatio: 0.5,
    },
    timing: {
      activationMillis: 1_500,
      slowStartMillis: 10_000,
      drainMillis: 30_000,
      retryAfterMinimumMillis: 500,
      retryAfterMaximumMillis: 10_000,
    },
  };
}
