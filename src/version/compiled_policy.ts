/**
 * Validates published policy documents and compiles them for lookups on the
 * data path.
 */
import {createDocumentDecoder, documentDigest} from './json_document.js';
import type {CompiledPolicy, Policy, RouteMatch, Service} from './policy.js';
import {findPolicyProblems} from './policy_checks.js';
import {policySchema} from './policy_schema.js';
import type {Problem} from './problem.js';
import type {RouteMatcher} from './route_matcher.js';
import {createRouteMatcher} from './route_matcher.js';

/** The compiled policy, or all problems of the document. */
export type PolicyCompileResult =
  | {readonly kind: 'compiled'; readonly compiled: CompiledPolicy}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]};

interface CompiledService {
  readonly service: Service;
  readonly findRoute: RouteMatcher<RouteMatch>;
}

const decodePolicy = createDocumentDecoder(policySchema);

/** Validates a document as published and compiles it if it is valid. */
export function compilePolicy(documentBytes: Uint8Array): PolicyCompileResult {
  const decoded = decodePolicy(documentBytes);
  if (decoded.kind === 'invalid') return decoded;
  const problems = findPolicyProblems(decoded.value);
  if (problems.length > 0) return {kind: 'invalid', problems};
  return {
    kind: 'compiled',
    compiled: createCompiledPolicy(decoded.value, documentBytes),
  };
}

function createCompiledPolicy(
  policy: Policy,
  documentBytes: Uint8Array,
): CompiledPolicy {
  const classIndexes = new Map(
    policy.classes.map(({name}, index) => [name, index]),
  );
  const services = new Map(
    policy.services.map(service => [
      service.name,
      compileService(service, classIndexes),
    ]),
  );
  return {
    policy,
    version: policy.version,
    digest: documentDigest(documentBytes),
    documentBytes,
    findService: serviceName => services.get(serviceName)?.service,
    findRoute: (serviceName, method, path) =>
      services.get(serviceName)?.findRoute(method, path),
  };
}

function compileService(
  service: Service,
  classIndexes: ReadonlyMap<string, number>,
): CompiledService {
  const entries = service.routes.map(route => ({
    method: route.method,
    path: route.path,
    value: {
      service,
      route,
      // Validation rejects unknown classes; the least important class is a safe
      // fallback.
      classIndex: classIndexes.get(route.className) ?? classIndexes.size - 1,
    },
  }));
  return {service, findRoute: createRouteMatcher(entries)};
}
