/**
 * The product's decisions with one mechanism switched off, so that a bench can
 * show what the mechanism is worth.
 */
import type * as Effect from 'effect/Effect';
import type {
  Decisions,
  DecisionsFactory,
  DecisionsOptions,
} from '../src/daemon/decisions.js';
import {createDecisions} from '../src/daemon/decisions.js';
import type {
  AdmissionConfig,
  AdmissionRefusal,
  AdmissionRequest,
  HostLoad,
  Permit,
} from '../src/process/admission_controller.js';
import {AdmissionController} from '../src/process/admission_controller.js';
import type {
  ConcurrencyLimitOptions,
  LimitSample,
} from '../src/process/concurrency_limit.js';
import {ConcurrencyLimit} from '../src/process/concurrency_limit.js';
import type {
  AttemptEnd,
  HostRoutingState,
  Selection,
  SelectionRequest,
} from '../src/process/host_selector.js';
import {HostSelector} from '../src/process/host_selector.js';
import {RetryBudget} from '../src/process/retry_budget.js';
import {RetryGrant} from '../src/request/retry_grant.js';
import type {EjectionPolicy, TimingPolicy} from '../src/version/policy.js';

/** What can be switched off. */
export const MECHANISMS = [
  'retry-grant',
  'retry-budget',
  'class-order',
  'adaptive-limit',
  'deadline-propagation',
  'early-refusal',
  'ejection',
] as const;
export type Mechanism = (typeof MECHANISMS)[number];

/** Reads a mechanism's name; throws for any other. */
export function toMechanism(name: string | undefined): Mechanism {
  const mechanism = MECHANISMS.find(known => known === name);
  if (mechanism !== undefined) return mechanism;
  throw new Error(`no mechanism '${String(name)}'`);
}

/** Creates the decisions of a node without a mechanism. */
export function createDecisionsWithout(mechanism: Mechanism): DecisionsFactory {
  return options => {
    const decisions = createDecisions({
      ...options,
      ...(mechanism === 'adaptive-limit'
        ? {createLimit: createFixedLimit}
        : {}),
    });
    return {...decisions, ...replacements(mechanism, decisions, options)};
  };
}

function replacements(
  mechanism: Mechanism,
  decisions: Decisions,
  options: DecisionsOptions,
): Partial<Decisions> {
  const {admission, selector} = decisions;
  switch (mechanism) {
    case 'retry-grant':
      return {createGrant: createGrantPerHop};
    case 'retry-budget':
      return {budget: createUnlimitedBudget()};
    case 'class-order':
      return {
        admission: withoutClasses(admission),
        selector: withSelector(selector, {mapClass: () => 0}),
      };
    case 'deadline-propagation':
      return {
        deadlineOf: () => options.time.monotonicMillis() + NO_DEADLINE_MILLIS,
      };
    case 'early-refusal':
      return {selector: withSelector(selector, {mapEnd: withoutRefusal})};
    case 'ejection':
      return {selector: withSelector(selector, {mapEnd: withoutFailure})};
    case 'adaptive-limit':
      return {};
  }
}

/** Longer than anything a bench waits for. */
const NO_DEADLINE_MILLIS = 60_000;

/** Retries of every hop, whatever other hops have spent. */
const RETRIES_PER_HOP_COUNT = 3;

/** A grant that every hop gets anew, as without a conserved one. */
function createGrantPerHop(): RetryGrant {
  let leftCount = RETRIES_PER_HOP_COUNT;
  return new (class extends RetryGrant {
    override remaining(): number {
      return leftCount;
    }
    override trySpend(): boolean {
      if (leftCount < 1) return false;
      leftCount -= 1;
      return true;
    }
    override close(): number {
      return 0;
    }
    override lend() {
      return {
        count: RETRIES_PER_HOP_COUNT,
        settle: () => undefined,
        forfeit: () => undefined,
      };
    }
  })();
}

function createUnlimitedBudget(): RetryBudget {
  return new (class extends RetryBudget {
    override configure(): void {
      // Nothing to apply.
    }
    override recordFirstAttempt(): void {
      // Nothing to count.
    }
    override tryTake(): boolean {
      return true;
    }
  })();
}

/** The published slots, whatever is measured. */
function createFixedLimit(options: ConcurrencyLimitOptions): ConcurrencyLimit {
  let {slotsCount} = options;
  return new (class extends ConcurrencyLimit {
    override limitCount(): number {
      return slotsCount;
    }
    override configure(newSlotsCount: number): void {
      slotsCount = newSlotsCount;
    }
    override record(_sample: LimitSample): void {
      // Nothing to adapt.
    }
  })();
}

/** Every call in one class: no reserve, no order, no shedding by class. */
function withoutClasses(admission: AdmissionController): AdmissionController {
  return new (class extends AdmissionController {
    override admit(
      request: AdmissionRequest,
    ): Effect.Effect<Permit, AdmissionRefusal> {
      return admission.admit({...request, classIndex: 0});
    }
    override configure(config: AdmissionConfig): void {
      admission.configure(config);
    }
    override startDraining(): void {
      admission.startDraining();
    }
    override dropExpired(): void {
      admission.dropExpired();
    }
    override load(): HostLoad {
      return admission.load();
    }
  })();
}

/** What is changed on the way to a selector. */
interface SelectorChanges {
  readonly mapClass?: (classIndex: number) => number;
  readonly mapEnd?: (end: AttemptEnd) => AttemptEnd;
}

function withSelector(
  selector: HostSelector,
  changes: SelectorChanges,
): HostSelector {
  const mapClass = changes.mapClass ?? (classIndex => classIndex);
  const mapEnd = changes.mapEnd ?? (end => end);
  return new (class extends HostSelector {
    override configure(ejection: EjectionPolicy, timing: TimingPolicy): void {
      selector.configure(ejection, timing);
    }
    override select(request: SelectionRequest): Selection {
      const classIndex = mapClass(request.classIndex);
      return selector.select({...request, classIndex});
    }
    override recordStart(hostName: string): void {
      selector.recordStart(hostName);
    }
    override recordEnd(end: AttemptEnd): void {
      selector.recordEnd(
        mapEnd({...end, classIndex: mapClass(end.classIndex)}),
      );
    }
    override states(): readonly HostRoutingState[] {
      return selector.states();
    }
  })();
}

/** Hides which classes a host refuses, unless it is leaving. */
function withoutRefusal(end: AttemptEnd): AttemptEnd {
  const {load} = end;
  if (load === undefined || load.refusedFromClassIndex === 0) return end;
  const refusedFromClassIndex = Number.MAX_SAFE_INTEGER;
  return {...end, load: {...load, refusedFromClassIndex}};
}

/** A failure that tells the selector nothing about the host. */
function withoutFailure(end: AttemptEnd): AttemptEnd {
  const isFailure = end.verdict === 'failed' || end.verdict === 'silent';
  return isFailure ? {...end, verdict: 'refused'} : end;
}
