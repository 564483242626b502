/**
 * Divides the requests of a split route among its services, exactly in
 * proportion to the weights over any short run of requests.
 */
import type {ServiceRoute} from '../../version/route_configuration.js';

/** Chooses the service of each request. */
export interface WeightedTargets {
  choose(route: ServiceRoute): string;
}

/**
 * Smooth weighted round robin. Each node starts at a place of its own by
 * chance: nodes that all began with the same part would overfill it after each
 * change of the configuration.
 */
export function createWeightedTargets(random: () => number): WeightedTargets {
  const states = new Map<string, Map<string, number>>();

  const stateOf = (route: ServiceRoute): Map<string, number> => {
    const key = `${route.name} ${route.targets.map(keyOf).join(' ')}`;
    const known = states.get(key);
    if (known !== undefined) return known;
    const total = totalOf(route);
    const created = new Map<string, number>();
    for (const target of route.targets) {
      created.set(target.service, (random() - 0.5) * total);
    }
    states.set(key, created);
    return created;
  };

  return {
    choose: route => {
      const [only] = route.targets;
      if (only !== undefined && route.targets.length === 1) return only.service;
      return next(route, stateOf(route));
    },
  };
}

function keyOf(target: {service: string; weightRatio: number}): string {
  return `${target.service}=${String(target.weightRatio)}`;
}

function totalOf(route: ServiceRoute): number {
  return route.targets.reduce((sum, target) => sum + target.weightRatio, 0);
}

function next(route: ServiceRoute, state: Map<string, number>): string {
  let chosen = '';
  let highest = -Infinity;
  for (const {service, weightRatio} of route.targets) {
    const credit = (state.get(service) ?? 0) + weightRatio;
    state.set(service, credit);
    if (weightRatio > 0 && credit > highest) {
      highest = credit;
      chosen = service;
    }
  }
  state.set(chosen, (state.get(chosen) ?? 0) - totalOf(route));
  return chosen;
}
