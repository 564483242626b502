/**
 * Summary of a draft as data: importance of classes, their share of upstreams,
 * rules of routes, and a sentence for each change from the previous document.
 */
import {labelOf, singularOf, unitOf} from './field_labels.js';
import type {PolicyChange} from '../policy_changes.js';
import {findPolicyChanges} from '../policy_changes.js';
import type {RouteExplanation} from '../route_explanation.js';
import {explainRoute} from '../route_explanation.js';
import type {CompiledPolicy, Policy} from '../../version/policy.js';

/** Summary of one class. */
export interface ClassSummary {
  readonly name: string;
  readonly reservedRatio: number;
  /** Maximum share of an upstream's limit that the class may use. */
  readonly usableRatio: number;
  readonly routesCount: number;
  /** The next less important class; undefined for the class shed first. */
  readonly shedAfter: string | undefined;
}

/** Maximum slots of one upstream for each class, in the order of classes. */
export interface ServiceSummary {
  readonly name: string;
  readonly slotsCount: number;
  readonly usableSlotsCounts: readonly number[];
}

/** One change as a sentence. */
export interface ChangeDescription {
  readonly sentence: string;
  readonly concerns: string;
}

/** Summary of a valid draft. */
export interface DraftSummary {
  /** Most important class first. */
  readonly classes: readonly ClassSummary[];
  readonly services: readonly ServiceSummary[];
  readonly routes: readonly RouteExplanation[];
  /** Undefined if there is no previous document. */
  readonly previousVersion: number | undefined;
  readonly changes: readonly ChangeDescription[];
}

/** Summarizes a draft and its changes from the previous document. */
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
    // All routes have the same slots; the schema requires at least one route.
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

/** Describes a change as a sentence. */
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
  /** Item or section, for example `route read-tile of service tileyard`. */
  readonly owner: string;
  /** Undefined if the whole item was added or removed. */
  readonly fieldName: string | undefined;
  readonly schemaPath: string;
}

const LIST_SECTIONS: ReadonlySet<string> = new Set([
  'availabilityZones',
  'classes',
  'services',
  'organisations',
]);

/** Splits the path at dots, which names cannot contain. */
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
