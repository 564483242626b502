/**
 * Program: one measurement of one capacity probe, as JSON on standard output.
 */
import {failProcess} from '../src/emulator/process_support.js';
import {createCapacityProbes} from './capacity_probes.js';

async function main(): Promise<void> {
  const [name, size] = process.argv.slice(2);
  const probe = createCapacityProbes().find(other => other.name === name);
  if (probe === undefined) throw new Error(`no probe '${String(name)}'`);
  const figures = await probe.measure(Number(size));
  process.stdout.write(JSON.stringify(figures), () => process.exit());
}

main().catch(failProcess);
