/**
 * What a draft does, as data: importance, shares of upstreams, rules of routes,
 * and each difference from the previous document in words.
 */
import {labelOf, singularOf, unitOf} from './field_labels.js';
import type {PolicyChange} from '../policy_changes.js';
import {findPolicyChanges} from '../policy_changes.js';
import type {RouteExplanation} from '../route_explanation.js';
import {explainRoute} from '../route_explanation.js';
import type {CompiledPolicy, Policy} from '../../version/policy.js';

/** One class, the most important first. */
export interface ClassSummary {
  readonly name: string;
  readonly reservedRatio: number;
  /** Share of an upstream's limit that the class may use. */
  readonly usableRatio: number;
  readonly routesCount: number;
  /** The next less important class; undefined for the one shed first. */
  readonly shedAfter: string | undefined;
}

/** Slots of one upstream that each class may use, in the order of classes. */
export interface ServiceSummary {
  readonly name: string;
  readonly slotsCount: number;
  readonly usableSlotsCounts: readonly number[];
}

/** One difference as a sentence. */
export interface ChangeDescription {
  readonly sentence: string;
  readonly concerns: string;
}

/** Everything shown about a valid draft. */
export interface DraftSummary {
  readonly classes: readonly ClassSummary[];
  readonly services: readonly ServiceSummary[];
  readonly routes: readonly RouteExplanation[];
  /** Undefined for a first document. */
  readonly previousVersion: number | undefined;
  readonly changes: readonly ChangeDescription[];
}

/** Collects what a draft does. */
export function summarizeDraft(
  compiled: CompiledPolicy,
  previous: Policy | undefined,
): DraftSummary {
  const {policy} = compiled;
  const changes = previous ? findPolicyChanges(previous, policy) : [];
  return {
    classes: summarizeClasses(policy),
    services: summarizeServices(compiled),
    routes: explainRoutes(compiled),
    previousVersion: previous?.version,
    changes: changes.map(describeChange),
  };
}

function summarizeClasses(policy: Policy): readonly ClassSummary[] {
  const routes = policy.services.flatMap(service => service.routes);
  let reservedAbove = 0;
  return policy.classes.map(({name, reservedRatio}, index) => {
    const usableRatio = 1 - reservedAbove;
    reservedAbove += reservedRatio;
    return {
      name,
      reservedRatio,
      usableRatio,
      routesCount: routes.filter(({className}) => className === name).length,
      shedAfter: policy.classes[index + 1]?.name,
    };
  });
}

function summarizeServices(
  compiled: CompiledPolicy,
): readonly ServiceSummary[] {
  const {classes, services} = compiled.policy;
  return services.map(service => {
    // Each route has the same slots; the schema lets no service be without.
    const routes = service.routes.slice(0, 1);
    const usableSlotsCounts = classes.flatMap((_, classIndex) =>
      routes.map(
        route =>
          explainRoute(compiled, {service, route, classIndex}).usableSlotsCount,
      ),
    );
    const {name, slotsCount} = service;
    return {name, slotsCount, usableSlotsCounts};
  });
}

function explainRoutes(compiled: CompiledPolicy): readonly RouteExplanation[] {
  const {classes, services} = compiled.policy;
  const classIndexes = new Map(classes.map(({name}, index) => [name, index]));
  return services.flatMap(service =>
    service.routes.map(route => {
      const classIndex = classIndexes.get(route.className) ?? 0;
      return explainRoute(compiled, {service, route, classIndex});
    }),
  );
}

/** Tells a difference as a sentence. */
export function describeChange(change: PolicyChange): ChangeDescription {
  return {
    sentence: `${formatChangeSentence(change)}.`,
    concerns: change.concerns,
  };
}

function formatChangeSentence({path, before, after}: PolicyChange): string {
  const location = parseChangePath(path);
  if (location.fieldName === undefined) {
    const verb = before === undefined ? 'is new' : 'is removed';
    return `${capitalize(location.owner)} ${verb}`;
  }
  if (location.fieldName === 'rank') {
    const direction = Number(after) < Number(before) ? 'up' : 'down';
    return `${capitalize(location.owner)} moves ${direction} in importance from place ${String(before)} to place ${String(after)}`;
  }
  const label = labelOf(location.fieldName);
  const subject =
    location.owner === '' ? label : `${label} of ${location.owner}`;
  const unit = unitOf(location.schemaPath);
  const suffix = unit === '' ? '' : ` ${unit}`;
  return `${subject}: ${describeDirection(before, after)} from ${String(before)} to ${String(after)}${suffix}`;
}

interface ChangeLocation {
  /** The item or section, for example `route read-tile of service tileyard`. */
  readonly owner: string;
  /** Undefined if the item as a whole is new or gone. */
  readonly fieldName: string | undefined;
  readonly schemaPath: string;
}

const LIST_SECTIONS: ReadonlySet<string> = new Set([
  'availabilityZones',
  'classes',
  'services',
  'organisations',
]);

/** Names have no dots, so that a path of names can be split again. */
function parseChangePath(path: string): ChangeLocation {
  const [section = '', name, member, itemName, itemField] = path.split('.');
  if (name === undefined) {
    return {owner: '', fieldName: section, schemaPath: section};
  }
  if (!LIST_SECTIONS.has(section)) {
    return {
      owner: labelOf(section).toLowerCase(),
      fieldName: name,
      schemaPath: `${section}.${name}`,
    };
  }
  if (section === 'services' && member === 'routes') {
    return {
      owner: `route ${String(itemName)} of service ${name}`,
      fieldName: itemField,
      schemaPath: `services[].routes[].${String(itemField)}`,
    };
  }
  if (section === 'organisations' && member === 'apiKeys') {
    return {
      owner: `API key ${String(itemName)} of organisation ${name}`,
      fieldName: itemField,
      schemaPath: `organisations[].apiKeys[].${String(itemField)}`,
    };
  }
  return {
    owner: `${singularOf(section)} ${name}`,
    fieldName: member,
    schemaPath: `${section}[].${String(member)}`,
  };
}

function describeDirection(before: unknown, after: unknown): string {
  if (typeof before !== 'number' || typeof after !== 'number') {
    return 'changed';
  }
  return after > before ? 'up' : 'down';
}

function capitalize(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
