/**
 * The rules of a policy for one route, as data and as text.
 */
import type {
  CompiledPolicy,
  PolicyRepeatRule,
  RouteMatch,
} from '../version/policy.js';

/** The rules that apply to one route. */
export interface RouteExplanation {
  readonly policyVersion: number;
  readonly service: string;
  readonly route: string;
  readonly method: string;
  readonly path: string;
  readonly className: string;
  /** Position of the class; 1 is the most important. */
  readonly classRank: number;
  readonly classesCount: number;
  /** Classes that are shed before this one. */
  readonly lessImportantClasses: readonly string[];
  readonly repeat: PolicyRepeatRule;
  readonly retryBound: number;
  readonly deadlineMillis: number;
  readonly queueCount: number;
  readonly queueWaitMillis: number;
  readonly slotsCount: number;
  /** Maximum number of slots of one upstream that the class may use. */
  readonly usableSlotsCount: number;
  /** Share of the limit that less important classes leave free. */
  readonly reservedRatio: number;
}

const REPEAT_RULE_DESCRIPTIONS: Readonly<Record<PolicyRepeatRule, string>> = {
  safe: 'may be sent again, even on behalf of a request that may not',
  idempotent: 'may be sent again, unless on behalf of a request that may not',
  never:
    'is never sent again once a byte may have reached an upstream, nor is anything done on its behalf unless that is safe',
};

/** Prevents rounding errors, as in 0.1 + 0.2, from removing a slot. */
const ROUNDING_TOLERANCE_RATIO = 1e-9;

/** Collects the rules that apply to a route. */
export function explainRoute(
  compiled: CompiledPolicy,
  {service, route, classIndex}: RouteMatch,
): RouteExplanation {
  const {classes} = compiled.policy;
  const reservedAbove = classes
    .slice(0, classIndex)
    .reduce((sum, {reservedRatio}) => sum + reservedRatio, 0);
  const usableSlots =
    service.slotsCount * (1 - reservedAbove + ROUNDING_TOLERANCE_RATIO);
  return {
    policyVersion: compiled.version,
    service: service.name,
    route: route.name,
    method: route.method,
    path: route.path,
    className: route.className,
    classRank: classIndex + 1,
    classesCount: classes.length,
    lessImportantClasses: classes.slice(classIndex + 1).map(({name}) => name),
    repeat: route.repeat,
    retryBound: route.retryBound,
    deadlineMillis: route.deadlineMillis,
    queueCount: service.queueCount,
    queueWaitMillis: service.queueWaitMillis,
    slotsCount: service.slotsCount,
    usableSlotsCount: Math.max(1, Math.floor(usableSlots)),
    reservedRatio: classes[classIndex]?.reservedRatio ?? 0,
  };
}

/** Formats the rules, one line each. */
export function formatExplanation(rules: RouteExplanation): readonly string[] {
  return [
    `${rules.method} ${rules.path} of ${rules.service} is route ${rules.route} (policy version ${String(rules.policyVersion)})`,
    `class:    ${describeClass(rules)}`,
    `repeat:   ${rules.repeat}: ${REPEAT_RULE_DESCRIPTIONS[rules.repeat]}`,
    `retries:  ${describeRetries(rules)}`,
    `deadline: ${String(rules.deadlineMillis)} ms after entry, or the caller's own timeout if that is shorter`,
    `queue:    at most ${String(rules.queueCount)} calls wait at one upstream, none longer than ${String(rules.queueWaitMillis)} ms`,
    `slots:    ${describeSlots(rules)}`,
  ];
}

function describeClass(rules: RouteExplanation): string {
  const rank = `${rules.className}, ${String(rules.classRank)} of ${String(rules.classesCount)} (1 is most important)`;
  if (rules.lessImportantClasses.length === 0) return `${rank}; shed first`;
  return `${rank}; shed only after ${rules.lessImportantClasses.join(', ')}`;
}

function describeRetries(rules: RouteExplanation): string {
  if (rules.retryBound === 0) return 'none on any hop of the chain';
  return `at most ${String(rules.retryBound)} over the whole chain, for a request that enters here`;
}

function describeSlots(rules: RouteExplanation): string {
  const usable = `the class may use ${String(rules.usableSlotsCount)} of ${String(rules.slotsCount)} at one upstream`;
  if (rules.reservedRatio === 0) return usable;
  return `${usable}; lower classes leave ${String(rules.reservedRatio)} of the limit free for it`;
}
