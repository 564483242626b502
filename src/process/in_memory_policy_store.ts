/**
 * Policy store of one process: accepts newer documents, keeps recent versions
 * for calls in flight and activates each version after its delay.
 */
import type {Metrics} from './metrics.js';
import type {PolicyOfferResult} from './policy_store.js';
import {PolicyStore} from './policy_store.js';
import type {JsonValue, StateDump} from './state_dump.js';
import type {Event} from '../base/event.js';
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

/** Versions that may wait for their activation at the same time. */
const MAX_WAITING_COUNT = KEPT_VERSIONS_COUNT - 1;

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

/** Calls back once after a delay; disposing of the result cancels it. */
export type ActivationScheduler = (
  delayMillis: number,
  onElapsed: () => void,
) => Disposable;

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

interface WaitingVersion {
  readonly compiled: CompiledPolicy;
  readonly activationMonotonicMillis: number;
}

/** The last document that was refused, for the state dump. */
interface Refusal {
  readonly source: string;
  readonly result: Extract<
    PolicyOfferResult,
    {kind: 'invalid' | 'digest-conflict'}
  >;
}

/** Creates a store without any policy. */
export function createPolicyStore(
  options: PolicyStoreOptions,
): DisposablePolicyStore {
  const {time, metrics} = options;
  const scheduleActivation = options.scheduleActivation ?? createTimeoutTimer;
  const resources = createDisposableStore();
  const acceptEmitter = resources.add(createEmitter<CompiledPolicy>());
  const activateEmitter = resources.add(createEmitter<CompiledPolicy>());
  /** In order of version. */
  const kept = new Map<number, CompiledPolicy>();
  /** In order of version; all are newer than the one in force. */
  let waiting: readonly WaitingVersion[] = [];
  let newestPolicy: CompiledPolicy | undefined;
  let policyInForce: CompiledPolicy | undefined;
  let activationTimer: Disposable | undefined;
  let lastRefusal: Refusal | undefined;

  function offer(documentBytes: Uint8Array): PolicyOfferResult {
    // Peers offer the held document again and again; its digest is enough.
    if (newestPolicy?.digest === digestOf(documentBytes)) {
      return {kind: 'already-held'};
    }
    const compilation = compilePolicy(documentBytes);
    if (compilation.kind === 'invalid') return refuse(compilation.problems);
    const refusal = compareWithNewest(compilation.compiled);
    if (refusal !== undefined) return refusal;
    accept(compilation.compiled);
    return {kind: 'accepted', version: compilation.compiled.version};
  }

  /** Why a valid document is not accepted, or undefined if it is. */
  function compareWithNewest(
    compiled: CompiledPolicy,
  ): PolicyOfferResult | undefined {
    if (newestPolicy === undefined) return undefined;
    const {deployment} = newestPolicy.policy;
    if (compiled.policy.deployment !== deployment) {
      return refuse([
        {
          path: '$.deployment',
          value: compiled.policy.deployment,
          allowed: `${deployment}, the deployment of the policy held`,
        },
      ]);
    }
    if (compiled.version === newestPolicy.version) {
      return {kind: 'digest-conflict', version: compiled.version};
    }
    if (compiled.version < newestPolicy.version) {
      return {kind: 'older', heldVersion: newestPolicy.version};
    }
    return undefined;
  }

  function accept(compiled: CompiledPolicy): void {
    newestPolicy = compiled;
    kept.set(compiled.version, compiled);
    forgetOldest(kept);
    metrics.gauge(POLICY_METRIC.newestVersion, compiled.version);
    addWaiting(compiled);
    activateDue();
    acceptEmitter.fire(compiled);
  }

  function addWaiting(compiled: CompiledPolicy): void {
    const delayMillis =
      policyInForce === undefined ? 0 : compiled.policy.timing.activationMillis;
    // Dropping the oldest would let a stream of versions put off every
    // activation for ever; dropping the last keeps the oldest on time.
    if (waiting.length === MAX_WAITING_COUNT) {
      waiting = waiting.slice(0, -1);
      metrics.increment(POLICY_METRIC.skipped);
    }
    const activationMonotonicMillis = time.monotonicMillis() + delayMillis;
    waiting = [...waiting, {compiled, activationMonotonicMillis}];
  }

  /**
   * Puts the newest version that is due in force. Called on every look-up as
   * well as by the timer: after a pause of the process timers are late, and
   * requests would enter under a version that the other hosts have left.
   */
  function activateDue(): CompiledPolicy | undefined {
    if (waiting.length === 0) return policyInForce;
    const nowMillis = time.monotonicMillis();
    const dueIndex = waiting.findLastIndex(
      version => version.activationMonotonicMillis <= nowMillis,
    );
    const due = waiting[dueIndex];
    if (due !== undefined) {
      waiting = waiting.slice(dueIndex + 1);
      policyInForce = due.compiled;
      metrics.gauge(POLICY_METRIC.inForceVersion, due.compiled.version);
      activateEmitter.fire(due.compiled);
    }
    if (due !== undefined || activationTimer === undefined) armTimer();
    return policyInForce;
  }

  function cancelTimer(): void {
    if (activationTimer !== undefined) resources.delete(activationTimer);
    activationTimer = undefined;
  }

  function armTimer(): void {
    cancelTimer();
    if (resources.isDisposed || waiting.length === 0) return;
    const nextMonotonicMillis = Math.min(
      ...waiting.map(({activationMonotonicMillis: millis}) => millis),
    );
    const delayMillis = Math.max(
      0,
      Math.ceil(nextMonotonicMillis - time.monotonicMillis()),
    );
    activationTimer = resources.add(
      scheduleActivation(delayMillis, () => {
        cancelTimer();
        activateDue();
      }),
    );
  }

  function describeState(): JsonValue {
    return {
      newestVersion: newestPolicy?.version ?? null,
      newestDigest: newestPolicy?.digest ?? null,
      inForceVersion: activateDue()?.version ?? null,
      waitingVersions: waiting.map(({compiled}) => compiled.version),
      keptVersions: [...kept.keys()],
      lastRefusal: lastRefusal && {
        source: lastRefusal.source,
        ...lastRefusal.result,
      },
    };
  }

  if (options.stateDump !== undefined) {
    resources.add(options.stateDump.register('policy', describeState));
  }

  return new (class extends DisposablePolicyStore {
    override readonly onDidAccept: Event<CompiledPolicy> = acceptEmitter.event;
    override readonly onDidActivate: Event<CompiledPolicy> =
      activateEmitter.event;
    override newest(): CompiledPolicy | undefined {
      return newestPolicy;
    }
    override inForce(): CompiledPolicy | undefined {
      return activateDue();
    }
    override byVersion(version: number): CompiledPolicy | undefined {
      if (policyInForce?.version === version) return policyInForce;
      return kept.get(version) ?? findWaiting(waiting, version);
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

function refuse(problems: readonly Problem[]): PolicyOfferResult {
  const reported = problems.slice(0, MAX_REPORTED_PROBLEMS).map(formatProblem);
  const hiddenCount = problems.length - reported.length;
  if (hiddenCount > 0) reported.push(`and ${String(hiddenCount)} more`);
  return {kind: 'invalid', problems: reported};
}

/** Whether an operator has to look into an offer. */
function isRefusal(result: PolicyOfferResult): result is Refusal['result'] {
  return result.kind === 'invalid' || result.kind === 'digest-conflict';
}

function forgetOldest(kept: Map<number, CompiledPolicy>): void {
  const [oldestVersion] = kept.keys();
  if (kept.size <= KEPT_VERSIONS_COUNT || oldestVersion === undefined) return;
  kept.delete(oldestVersion);
}

function findWaiting(
  waiting: readonly WaitingVersion[],
  version: number,
): CompiledPolicy | undefined {
  return waiting.find(({compiled}) => compiled.version === version)?.compiled;
}
