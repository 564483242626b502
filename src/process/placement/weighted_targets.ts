/**
 * Distributes the requests of a split route over its services, in exact
 * proportion to the weights over any short sequence of requests.
 */
import type {ServiceRoute} from '../../version/route_configuration.js';

/** Chooses the service of each request. */
export interface WeightedTargets {
  choose(route: ServiceRoute): string;
}

/**
 * Smooth weighted round robin. Each node starts at a random position: if all
 * nodes started with the same target, they would overload it after each change
 * of the configuration.
 */
export function createWeightedTargets(random: () => number): WeightedTargets {
  const weightsByRoute = new Map<string, Map<string, number>>();

  const currentWeightsOf = (route: ServiceRoute): Map<string, number> => {
    const key = `${route.name} ${route.targets.map(keyOf).join(' ')}`;
    const known = weightsByRoute.get(key);
    if (known !== undefined) return known;
    const total = totalOf(route);
    const created = new Map<string, number>();
    for (const target of route.targets) {
      created.set(target.service, (random() - 0.5) * total);
    }
    weightsByRoute.set(key, created);
    return created;
  };

  return {
    choose: route => {
      const [only] = route.targets;
      if (only !== undefined && route.targets.length === 1) return only.service;
      return chooseNext(route, currentWeightsOf(route));
    },
  };
}

function keyOf(target: {service: string; weightRatio: number}): string {
  return `${target.service}=${String(target.weightRatio)}`;
}

function totalOf(route: ServiceRoute): number {
  return route.targets.reduce((sum, target) => sum + target.weightRatio, 0);
}

function chooseNext(
  route: ServiceRoute,
  currentWeights: Map<string, number>,
): string {
  let chosen = '';
  let highestWeight = -Infinity;
  for (const {service, weightRatio} of route.targets) {
    const currentWeight = (currentWeights.get(service) ?? 0) + weightRatio;
    currentWeights.set(service, currentWeight);
    if (weightRatio > 0 && currentWeight > highestWeight) {
      highestWeight = currentWeight;
      chosen = service;
    }
  }
  currentWeights.set(
    chosen,
    (currentWeights.get(chosen) ?? 0) - totalOf(route),
  );
  return chosen;
}
