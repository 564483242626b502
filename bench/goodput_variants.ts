/**
 * What the product is compared with: baselines, and the product with single
 * mechanisms switched off.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {DaemonProgram} from '../src/emulator/fleet_plan.js';
import {BASELINE_MODES} from './baseline_node.js';
import {MECHANISMS} from './variant_decisions.js';

/** One way to run every node of the fleet. */
export interface Variant {
  readonly name: string;
  /** The product's own daemon when absent. */
  readonly daemonProgram: DaemonProgram | undefined;
  /** Whether nodes take part in the product's protocols. */
  readonly isBaseline: boolean;
}

const DIRECTORY = dirname(fileURLToPath(import.meta.url));

/** Name of the product as it ships. */
export const FULL_VARIANT = 'full';

/** In the order of the report. */
export const VARIANTS: readonly Variant[] = [
  {name: FULL_VARIANT, daemonProgram: undefined, isBaseline: false},
  ...BASELINE_MODES.map(mode => ({
    name: mode,
    daemonProgram: {
      file: join(DIRECTORY, 'baseline_main.js'),
      args: ['--mode', mode],
    },
    isBaseline: true,
  })),
  ...MECHANISMS.map(mechanism => ({
    name: `no-${mechanism}`,
    daemonProgram: {
      file: join(DIRECTORY, 'variant_main.js'),
      args: [mechanism],
    },
    isBaseline: false,
  })),
];

/** Variants of that name, or all. */
export function findVariants(name: string | undefined): readonly Variant[] {
  if (name === undefined) return VARIANTS;
  const found = VARIANTS.filter(variant => variant.name === name);
  if (found.length > 0) return found;
  const names = VARIANTS.map(variant => variant.name).join(', ');
  throw new Error(`no variant '${name}'; there are ${names}`);
}
