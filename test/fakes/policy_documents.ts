/**
 * Policy documents for tests: a valid base policy and variants of it.
 */
import type {CompiledPolicy, Policy} from '../../src/version/policy.js';
import {compilePolicy} from '../../src/version/compiled_policy.js';

/** Removes `readonly` from all properties, recursively. */
export type Mutable<T> = {-readonly [K in keyof T]: Mutable<T[K]>};

/** A small valid policy: one service with an order route and a read route. */
export const BASE_POLICY: Policy = {
  formatVersion: 1,
  version: 1,
  deployment: 'trial',
  availabilityZones: [
    {name: 'za', region: 'north'},
    {name: 'zb', region: 'north'},
  ],
  classes: [
    {name: 'orders', reservedRatio: 0.2},
    {name: 'browsing', reservedRatio: 0.1},
    {name: 'background', reservedRatio: 0},
  ],
  services: [
    {
      name: 'desk',
      slotsCount: 20,
      connectionsCount: 200,
      queueCount: 40,
      queueWaitMillis: 200,
      progressTimeoutMillis: 1_000,
      routes: [
        {
          name: 'place-order',
          method: 'POST',
          path: '/orders',
          className: 'orders',
          repeat: 'never',
          deadlineMillis: 3_000,
          retryBound: 2,
          isPublic: false,
        },
        {
          name: 'read-order',
          method: 'GET',
          path: '/orders/:id',
          className: 'browsing',
          repeat: 'safe',
          deadlineMillis: 2_000,
          retryBound: 2,
          isPublic: false,
        },
      ],
    },
  ],
  organisations: [],
  retryBudget: {ratio: 0.1, minimumPerSecond: 1},
  bodies: {requestBytes: 1_048_576, bufferedAnswerBytes: 65_536},
  ejection: {
    consecutiveFailuresCount: 5,
    ejectionMillis: 5_000,
    floorRatio: 0.5,
  },
  timing: {
    activationMillis: 1_000,
    slowStartMillis: 10_000,
    drainMillis: 30_000,
    retryAfterMinimumMillis: 500,
    retryAfterMaximumMillis: 10_000,
  },
};

/** Returns a copy of the base policy, modified by `change`. */
export function createPolicyWith(change: (draft: Mutable<Policy>) => void) {
  const draft = structuredClone(BASE_POLICY) as Mutable<Policy>;
  change(draft);
  return draft;
}

/** Returns the encoded base policy with this version, modified by `change`. */
export function createPolicyBytes(
  version: number,
  change: (draft: Mutable<Policy>) => void = () => undefined,
): Uint8Array {
  return encodeDocument(
    createPolicyWith(draft => {
      draft.version = version;
      change(draft);
    }),
  );
}

/** Returns the compiled policy; throws if the document has problems. */
export function compileOrThrow(documentBytes: Uint8Array): CompiledPolicy {
  const compilation = compilePolicy(documentBytes);
  if (compilation.kind === 'compiled') return compilation.compiled;
  throw new Error(JSON.stringify(compilation.problems));
}

/** Encodes a value as JSON in UTF-8. */
export function encodeDocument(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}
