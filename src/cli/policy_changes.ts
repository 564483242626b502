/**
 * Finds the differences between two policies, and the hosts, nodes, callers,
 * clients or requests that each one affects.
 */
import type {
  Policy,
  PolicyOrganisation,
  Route,
  Service,
} from '../version/policy.js';

/** One difference between two policies. */
export interface PolicyChange {
  /** Path in the document, with names of list items instead of indexes. */
  readonly path: string;
  /** Undefined if the field or item was added. */
  readonly before: unknown;
  /** Undefined if the field or item was removed. */
  readonly after: unknown;
  /** Hosts, nodes, callers, clients or requests that the change affects. */
  readonly concerns: string;
}

/** Fields that are compared one by one; values are JSON scalars. */
type Fields = Readonly<Record<string, unknown>>;

interface NamedItem {
  readonly name: string;
}

interface Scope {
  readonly path: string;
  readonly concerns: string;
}

const SECTIONS = [
  ['retryBudget', 'every host, for the retries it sends'],
  ['bodies', 'every caller'],
  ['ejection', 'every host, for the choice of hosts'],
  ['timing', 'every host'],
] as const;

/** Returns the differences in document order. */
export function findPolicyChanges(
  before: Policy,
  after: Policy,
): readonly PolicyChange[] {
  return [
    ...compareFields(
      {path: '', concerns: 'every host'},
      {version: before.version, deployment: before.deployment},
      {version: after.version, deployment: after.deployment},
    ),
    ...compareItems(
      before.availabilityZones,
      after.availabilityZones,
      ({name}) => ({
        path: `availabilityZones.${name}`,
        concerns: 'nodes, which place requests by zone',
      }),
      compareFields,
    ),
    ...compareItems(
      addClassRanks(before),
      addClassRanks(after),
      ({name}) => ({
        path: `classes.${name}`,
        concerns: `requests of class ${name} and of those below it`,
      }),
      compareFields,
    ),
    ...compareItems(
      before.services,
      after.services,
      ({name}) => ({
        path: `services.${name}`,
        concerns: `hosts of ${name} and everyone who calls it`,
      }),
      compareServices,
    ),
    ...compareItems(
      before.organisations,
      after.organisations,
      ({name}) => ({
        path: `organisations.${name}`,
        concerns: `clients of ${name}`,
      }),
      compareOrganisations,
    ),
    ...SECTIONS.flatMap(([section, concerns]) =>
      compareFields(
        {path: section, concerns},
        {...before[section]},
        {...after[section]},
      ),
    ),
  ];
}

/** Formats a change as one line of terminal output. */
export function formatChange(change: PolicyChange): string {
  return `${change.path}: ${describeValues(change)} (${change.concerns})`;
}

function describeValues({before, after}: PolicyChange): string {
  if (before === undefined) return `new, ${JSON.stringify(after)}`;
  if (after === undefined) return `gone, was ${JSON.stringify(before)}`;
  return `${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

/** Adds the 1-based position, which defines the importance, as a field. */
function addClassRanks(policy: Policy) {
  return policy.classes.map((requestClass, index) => ({
    ...requestClass,
    rank: index + 1,
  }));
}

function compareServices(
  scope: Scope,
  before: Service,
  after: Service,
): readonly PolicyChange[] {
  const {routes: routesBefore, ...fieldsBefore} = before;
  const {routes: routesAfter, ...fieldsAfter} = after;
  return [
    ...compareFields(scope, fieldsBefore, fieldsAfter),
    ...compareItems(
      routesBefore,
      routesAfter,
      (route: Route) => ({
        path: `${scope.path}.routes.${route.name}`,
        concerns: `callers of ${route.method} ${route.path} on ${after.name}`,
      }),
      compareFields,
    ),
  ];
}

function compareOrganisations(
  scope: Scope,
  before: PolicyOrganisation,
  after: PolicyOrganisation,
): readonly PolicyChange[] {
  const {apiKeys: keysBefore, ...fieldsBefore} = before;
  const {apiKeys: keysAfter, ...fieldsAfter} = after;
  return [
    ...compareFields(scope, fieldsBefore, fieldsAfter),
    ...compareItems(
      keysBefore,
      keysAfter,
      ({name}) => ({
        path: `${scope.path}.apiKeys.${name}`,
        concerns: `clients of ${after.name} with this key`,
      }),
      compareFields,
    ),
  ];
}

function compareItems<T extends NamedItem>(
  before: readonly T[],
  after: readonly T[],
  scopeOf: (item: T) => Scope,
  compare: (scope: Scope, before: T, after: T) => readonly PolicyChange[],
): readonly PolicyChange[] {
  const removed = before
    .filter(item => !after.some(({name}) => name === item.name))
    .map(item => ({...scopeOf(item), before: item, after: undefined}));
  const keptOrAdded = after.flatMap(item => {
    const match = before.find(({name}) => name === item.name);
    if (match !== undefined) return compare(scopeOf(item), match, item);
    return [{...scopeOf(item), before: undefined, after: item}];
  });
  return [...removed, ...keptOrAdded];
}

function compareFields(
  scope: Scope,
  before: object,
  after: object,
): readonly PolicyChange[] {
  const fieldsBefore = before as Fields;
  return Object.entries(after as Fields)
    .filter(([name, value]) => fieldsBefore[name] !== value)
    .map(([name, value]) => ({
      path: scope.path === '' ? name : `${scope.path}.${name}`,
      before: fieldsBefore[name],
      after: value,
      concerns: scope.concerns,
    }));
}
