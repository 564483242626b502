/**
 * `npm run bench -- capacity`: what each thing costs that grows with the fleet
 * or its traffic, found by growing one at a time.
 */
import {execFile} from 'node:child_process';
import {loadavg} from 'node:os';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {formatTable} from '../src/emulator/text_table.js';
import type {BenchOptions, BenchResult} from './bench_command.js';
import {BenchCommand} from './bench_command.js';
import {TARGET} from './capacity_documents.js';
import type {OverlayShape} from './capacity_overlay.js';
import {computeOverlay} from './capacity_overlay.js';
import {computeElectorLoad, computeStartCalls} from './capacity_platform.js';
import type {CapacityProbe, Line, ProbeFigures} from './capacity_probe.js';
import {fitLine, medianOf} from './capacity_probe.js';
import {createCapacityProbes} from './capacity_probes.js';
import {busyRatio, describeMachine, readMachineUsage} from './process_usage.js';

const run = promisify(execFile);
const PROGRAM = fileURLToPath(new URL('capacity_main.js', import.meta.url));
const REPEATS_COUNT = 3;
const MEASUREMENT_LIMIT_MILLIS = 120_000;
const OVERLAY_SEEDS = ['host', 'node', 'machine'] as const;

/** What was found at one size. */
interface SizeResult {
  readonly size: number;
  readonly medians: ProbeFigures;
  readonly repeats: readonly ProbeFigures[];
}

/** What was found about one probe. */
interface ProbeResult {
  readonly name: string;
  readonly quantity: string;
  readonly sizes: readonly SizeResult[];
  /** Line through the medians; empty for a probe of one size. */
  readonly lines: Readonly<Record<string, Line>>;
}

/** Creates the measurement. `variant` restricts it to one probe. */
export function createCapacityBench(): BenchCommand {
  return new (class extends BenchCommand {
    override readonly name = 'capacity';
    override readonly description =
      'cost of hosts, streams, documents, calls and keys';
    override async run(options: BenchOptions): Promise<BenchResult> {
      const before = await readMachineUsage();
      const probes = createCapacityProbes().filter(
        probe => (options.variant ?? probe.name) === probe.name,
      );
      const results: ProbeResult[] = [];
      for (const probe of probes) results.push(await grow(probe, options));
      const overlays = computeOverlays();
      const startCalls = computeStartCalls();
      const electorLoad = computeElectorLoad();
      const busy = busyRatio(before, await readMachineUsage());
      const machine = `${describeMachine()}, ${String(Math.round(busy * 100))} % busy with everything, load ${loadavg()
        .map(load => load.toFixed(1))
        .join(' ')}`;
      const text = [
        machine,
        ...results.map(describeResult),
        describeOverlays(overlays),
        describeRows('platform calls at a start (computed)', startCalls),
        describeRows('electors of one zone (computed)', [electorLoad]),
      ].join('\n\n');
      return {
        text,
        figures: {machine, results, overlays, startCalls, electorLoad},
      };
    }
  })();
}

/**
 * Sizes are taken in turn and the turns repeated, so that whatever else the
 * machine does meets all sizes alike.
 */
async function grow(
  probe: CapacityProbe,
  options: BenchOptions,
): Promise<ProbeResult> {
  const repeatsCount = options.isQuick ? 1 : REPEATS_COUNT;
  const bySize = new Map(probe.sizes.map(size => [size, [] as ProbeFigures[]]));
  for (let turn = 0; turn < repeatsCount; turn += 1) {
    for (const [size, repeats] of bySize) {
      options.notify(`${probe.name} ${String(size)}`);
      repeats.push(await measureInProcess(probe, size));
    }
  }
  const sizes = [...bySize].map(([size, repeats]) => ({
    size,
    medians: mediansOf(repeats),
    repeats,
  }));
  return {
    name: probe.name,
    quantity: probe.quantity,
    sizes,
    lines: sizes.length > 1 ? fitLines(sizes) : {},
  };
}

async function measureInProcess(
  probe: CapacityProbe,
  size: number,
): Promise<ProbeFigures> {
  const {stdout} = await run(
    process.execPath,
    ['--expose-gc', PROGRAM, probe.name, String(size)],
    {timeout: MEASUREMENT_LIMIT_MILLIS},
  );
  return JSON.parse(stdout) as ProbeFigures;
}

function mediansOf(repeats: readonly ProbeFigures[]): ProbeFigures {
  const names = Object.keys(repeats[0] ?? {});
  return Object.fromEntries(
    names.map(name => [
      name,
      medianOf(repeats.map(figures => figures[name] ?? Number.NaN)),
    ]),
  );
}

function fitLines(
  sizes: readonly SizeResult[],
): Readonly<Record<string, Line>> {
  const names = Object.keys(sizes[0]?.medians ?? {});
  return Object.fromEntries(
    names.map(name => [
      name,
      fitLine(
        sizes.map(({size, medians}) => [size, medians[name] ?? Number.NaN]),
      ),
    ]),
  );
}

function describeResult(result: ProbeResult): string {
  const names = Object.keys(result.sizes[0]?.medians ?? {});
  const rows = names.map(name => [
    name,
    ...result.sizes.map(({medians}) => formatFigure(medians[name])),
    formatFigure(result.lines[name]?.slope),
    formatFigure(result.lines[name]?.intercept),
  ]);
  const header = [
    result.quantity,
    ...result.sizes.map(({size}) => String(size)),
    'slope',
    'at 0',
  ];
  return `${result.name}\n${formatTable(header, rows)}`;
}

function computeOverlays(): readonly OverlayShape[] {
  return OVERLAY_SEEDS.map(seed => computeOverlay(TARGET.hostsCount, seed));
}

function describeOverlays(overlays: readonly OverlayShape[]): string {
  const names = Object.keys(overlays[0] ?? {}) as (keyof OverlayShape)[];
  const rows = names.map(name => [
    name,
    ...overlays.map(overlay => formatFigure(overlay[name])),
  ]);
  const header = ['set of host names', ...OVERLAY_SEEDS];
  return `overlay (computed)\n${formatTable(header, rows)}`;
}

function describeRows(title: string, rows: readonly object[]): string {
  const headings = Object.keys(rows[0] ?? {});
  const cells = rows.map(row =>
    Object.values(row).map(value =>
      typeof value === 'number' ? formatFigure(value) : String(value),
    ),
  );
  return `${title}\n${formatTable(headings, cells)}`;
}

const FIGURE_DIGITS = 3;

function formatFigure(value: number | undefined): string {
  if (value === undefined) return '';
  if (!Number.isFinite(value)) return String(value);
  const isLarge = Math.abs(value) >= 10 ** FIGURE_DIGITS;
  return isLarge
    ? Math.round(value).toString()
    : Number(value.toPrecision(FIGURE_DIGITS)).toString();
}
