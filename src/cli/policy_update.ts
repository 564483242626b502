/**
 * Checks a policy document against the version that it replaces.
 */
import type {Policy} from '../version/policy.js';
import type {Problem} from '../version/problem.js';

/** Problems that prevent the update, and warnings about its effects. */
export interface PolicyUpdateReport {
  readonly problems: readonly Problem[];
  readonly warnings: readonly string[];
}

/** Compares a document with the previous version. */
export function checkPolicyUpdate(
  previous: Policy,
  next: Policy,
): PolicyUpdateReport {
  return {
    problems: findPolicyUpdateProblems(previous, next),
    warnings: findZoneWarnings(previous, next),
  };
}

function findPolicyUpdateProblems(
  previous: Policy,
  next: Policy,
): readonly Problem[] {
  const problems: Problem[] = [];
  if (next.version <= previous.version) {
    problems.push({
      path: '$.version',
      value: next.version,
      allowed: `more than ${String(previous.version)}, the version to be replaced`,
    });
  }
  if (next.deployment !== previous.deployment) {
    problems.push({
      path: '$.deployment',
      value: next.deployment,
      allowed: `${previous.deployment}, the deployment of the version to be replaced`,
    });
  }
  return problems;
}

/** Hosts in a zone that is missing from the document are treated as remote. */
function findZoneWarnings(previous: Policy, next: Policy): readonly string[] {
  const change = describeSetChange(zoneNames(previous), zoneNames(next));
  if (change === undefined) return [];
  return [`availability zones ${change}: hosts must be listed in the new ones`];
}

function zoneNames(policy: Policy): readonly string[] {
  return policy.availabilityZones.map(({name}) => name);
}

function describeSetChange(
  before: readonly string[],
  after: readonly string[],
): string | undefined {
  const added = after.filter(name => !before.includes(name));
  const removed = before.filter(name => !after.includes(name));
  const parts: string[] = [];
  if (added.length > 0) parts.push(`gain ${added.join(', ')}`);
  if (removed.length > 0) parts.push(`lose ${removed.join(', ')}`);
  return parts.length > 0 ? parts.join(' and ') : undefined;
}
