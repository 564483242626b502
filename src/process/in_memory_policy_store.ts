/**
 * Policy store of one process: accepts newer documents, keeps recent versions
 * for calls in flight and activates each version after its delay.
 */
import type {ActivationScheduler} from './activation_queue.js';
import {createActivationQueue} from './activation_queue.js';
import type {Metrics} from './metrics.js';
import type {PolicyOfferResult} from './policy_store.js';
import {PolicyStore} from './policy_store.js';
import type {JsonValue, StateDump} from './state_dump.js';
import {createEmitter} from '../base/event.js';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, createTimeoutTimer} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import {compilePolicy} from '../version/compiled_policy.js';
import {digestOf} from '../version/json_document.js';
import type {CompiledPolicy} from '../version/policy.js';
import type {Problem} from '../version/problem.js';
import {formatProblem} from '../version/problem.js';

/** Versions kept for calls that entered under them. */
export const KEPT_VERSIONS_COUNT = 16;

/** Problems reported for one refused document. */
const MAX_REPORTED_PROBLEMS = 50;

/** Names of the samples the store produces. */
export const POLICY_METRIC = {
  /** Counter of offers, tagged with their result. */
  offers: 'policy.offers',
  /** Counter of versions dropped because too many waited for activation. */
  skipped: 'policy.skipped',
  newestVersion: 'policy.newest_version',
  inForceVersion: 'policy.in_force_version',
} as const;

/** What a policy store depends on. */
export interface PolicyStoreOptions {
  readonly time: TimeSource;
  readonly metrics: Metrics;
  /** Timer that announces activations; a real one unless given. */
  readonly scheduleActivation?: ActivationScheduler | undefined;
  /** Where the store's section is registered, if anywhere. */
  readonly stateDump?: StateDump | undefined;
}

/** A policy store that holds a timer and subscriptions until disposed of. */
export abstract class DisposablePolicyStore
  extends PolicyStore
  implements Disposable
{
  abstract dispose(): void;
}

/** A result an operator has to look into. */
type RefusalResult = Extract<
  PolicyOfferResult,
  {readonly kind: 'invalid' | 'digest-conflict'}
>;

interface Refusal {
  readonly source: string;
  readonly result: RefusalResult;
}

/** Creates a store without any policy. */
export function createPolicyStore(
  options: PolicyStoreOptions,
): DisposablePolicyStore {
  const {time, metrics} = options;
  const resources = createDisposableStore();
  const acceptEmitter = resources.add(createEmitter<CompiledPolicy>());
  const activateEmitter = resources.add(createEmitter<CompiledPolicy>());
  const activations = resources.add(
    createActivationQueue({
      time,
      schedule: options.scheduleActivation ?? createTimeoutTimer,
      onActivate: compiled => {
        metrics.gauge(POLICY_METRIC.inForceVersion, compiled.version);
        activateEmitter.fire(compiled);
      },
      onSkip: () => {
        metrics.increment(POLICY_METRIC.skipped);
      },
    }),
  );
  /** In order of version. */
  const kept = new Map<number, CompiledPolicy>();
  let newestPolicy: CompiledPolicy | undefined;
  let lastRefusal: Refusal | undefined;

  function offer(documentBytes: Uint8Array): PolicyOfferResult {
    // Peers offer the held document again and again; its digest is enough.
    if (newestPolicy?.digest === digestOf(documentBytes)) {
      return {kind: 'already-held'};
    }
    const compilation = compilePolicy(documentBytes);
    if (compilation.kind === 'invalid') {
      return createInvalidResult(compilation.problems);
    }
    const {compiled} = compilation;
    const refusal = newestPolicy && compareWithHeld(compiled, newestPolicy);
    if (refusal !== undefined) return refusal;
    accept(compiled);
    return {kind: 'accepted', version: compiled.version};
  }

  function accept(compiled: CompiledPolicy): void {
    newestPolicy = compiled;
    kept.set(compiled.version, compiled);
    forgetOldest(kept);
    metrics.gauge(POLICY_METRIC.newestVersion, compiled.version);
    activations.add(compiled);
    acceptEmitter.fire(compiled);
  }

  function describeState(): JsonValue {
    return {
      newestVersion: newestPolicy?.version ?? null,
      newestDigest: newestPolicy?.digest ?? null,
      inForceVersion: activations.inForce()?.version ?? null,
      waitingVersions: activations.waiting().map(({version}) => version),
      keptVersions: [...kept.keys()],
      lastRefusal: lastRefusal
        ? {source: lastRefusal.source, ...lastRefusal.result}
        : null,
    };
  }

  if (options.stateDump !== undefined) {
    resources.add(options.stateDump.register('policy', describeState));
  }

  return new (class extends DisposablePolicyStore {
    override readonly onDidAccept = acceptEmitter.event;
    override readonly onDidActivate = activateEmitter.event;
    override newest(): CompiledPolicy | undefined {
      return newestPolicy;
    }
    override inForce(): CompiledPolicy | undefined {
      return activations.inForce();
    }
    override byVersion(version: number): CompiledPolicy | undefined {
      const policyInForce = activations.inForce();
      if (policyInForce?.version === version) return policyInForce;
      return kept.get(version);
    }
    override offer(
      documentBytes: Uint8Array,
      source: string,
    ): PolicyOfferResult {
      const result = offer(documentBytes);
      metrics.increment(POLICY_METRIC.offers, {result: result.kind});
      if (isRefusal(result)) lastRefusal = {source, result};
      return result;
    }
    override dispose(): void {
      resources.dispose();
    }
  })();
}

/** Why a valid document does not replace the one held; undefined if it does. */
function compareWithHeld(
  offered: CompiledPolicy,
  held: CompiledPolicy,
): PolicyOfferResult | undefined {
  const {deployment} = held.policy;
  if (offered.policy.deployment !== deployment) {
    const path = '$.deployment';
    const allowed = `${deployment}, the deployment of the policy held`;
    const value = offered.policy.deployment;
    return createInvalidResult([{path, value, allowed}]);
  }
  if (offered.version === held.version) {
    return {kind: 'digest-conflict', version: offered.version};
  }
  if (offered.version < held.version) {
    return {kind: 'older', heldVersion: held.version};
  }
  return undefined;
}

function createInvalidResult(problems: readonly Problem[]): RefusalResult {
  const reported = problems.slice(0, MAX_REPORTED_PROBLEMS).map(formatProblem);
  const hiddenCount = problems.length - reported.length;
  if (hiddenCount > 0) reported.push(`and ${String(hiddenCount)} more`);
  return {kind: 'invalid', problems: reported};
}

function isRefusal(result: PolicyOfferResult): result is RefusalResult {
  return result.kind === 'invalid' || result.kind === 'digest-conflict';
}

function forgetOldest(kept: Map<number, CompiledPolicy>): void {
  const [oldestVersion] = kept.keys();
  if (kept.size <= KEPT_VERSIONS_COUNT || oldestVersion === undefined) return;
  kept.delete(oldestVersion);
}
