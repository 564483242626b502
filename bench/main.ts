/**
 * Runs the benchmarks, which compare results within one run: `npm run bench -- [NAME]`.
 */
import {measureCost} from './cost_bench.js';
import {measureDecisions} from './decisions_bench.js';
import {measureLatency} from './latency_bench.js';
import {measureQuotas} from './quota_bench.js';

const MEASUREMENTS: ReadonlyMap<string, () => Promise<readonly string[]>> =
  new Map([
    ['cost', measureCost],
    ['decisions', measureDecisions],
    ['latency', measureLatency],
    ['quotas', measureQuotas],
  ]);

const [requestedName] = process.argv.slice(2);
const names =
  requestedName === undefined ? [...MEASUREMENTS.keys()] : [requestedName];

for (const name of names) {
  const measure = MEASUREMENTS.get(name);
  if (measure === undefined) {
    const known = [...MEASUREMENTS.keys()].join(', ');
    process.stderr.write(
      `Unknown benchmark '${name}'; expected one of: ${known}.\n`,
    );
    process.exit(2);
  }
  const lines = await measure();
  process.stdout.write(`${lines.join('\n')}\n`);
}
process.exit(0);
