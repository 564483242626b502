/**
 * Memory of a process by the parts of the program that it has loaded.
 */
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import type {ProbeFigures} from './capacity_probe.js';
import {CapacityProbe} from './capacity_probe.js';

const run = promisify(execFile);
const PROGRAM = fileURLToPath(
  new URL('capacity_memory_main.js', import.meta.url),
);

/** Each step loads what the one before did and more. */
const STEPS = {
  runtime: [],
  effect: ['effect/Effect', 'effect/Fiber', 'effect/Queue', 'effect/Schema'],
  dataPath: ['../src/daemon/data_path.js', '../src/process/logger.js'],
  control: ['../src/connection/control_plane.js'],
  daemon: ['../src/daemon/program.js'],
} as const;

/** Modules loaded by one process; there is only one size. */
export function createPartsProbe(): CapacityProbe {
  return new (class extends CapacityProbe {
    override readonly name = 'parts';
    override readonly quantity = 'processes';
    override readonly sizes = [1];
    override async measure(): Promise<ProbeFigures> {
      const figures: Record<string, number> = {};
      const modules: string[] = [];
      for (const [part, added] of Object.entries(STEPS)) {
        modules.push(...added.map(resolveModule));
        const memory = await measureProcess(modules);
        figures[`${part}ResidentBytes`] = memory.residentBytes;
        figures[`${part}LiveBytes`] = memory.liveBytes;
      }
      return figures;
    }
  })();
}

/** Packages are found from here, files from the measuring program. */
function resolveModule(name: string): string {
  return name.startsWith('.') ? name : import.meta.resolve(name);
}

async function measureProcess(modules: readonly string[]): Promise<{
  readonly residentBytes: number;
  readonly liveBytes: number;
}> {
  const {stdout} = await run(process.execPath, [
    '--expose-gc',
    PROGRAM,
    ...modules,
  ]);
  return JSON.parse(stdout) as {
    readonly residentBytes: number;
    readonly liveBytes: number;
  };
}
