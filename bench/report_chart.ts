/**
 * A line chart over time as SVG text.
 */

/** One line; points are in order of time. */
export interface ChartLine {
  readonly name: string;
  readonly points: readonly ChartPoint[];
}

/** A value at a time. */
export interface ChartPoint {
  readonly seconds: number;
  readonly value: number;
}

/** A shaded stretch of time with its name. */
export interface ChartSpan {
  readonly name: string;
  readonly fromSeconds: number;
  readonly toSeconds: number;
}

/** What to draw. */
export interface ChartOptions {
  readonly title: string;
  readonly valueLabel: string;
  readonly span: ChartSpan;
  readonly lines: readonly ChartLine[];
  /** Dashed horizontal line, such as a bound. */
  readonly reference?: {readonly name: string; readonly value: number};
}

const WIDTH = 920;
const HEIGHT = 380;
const MARGIN = {top: 44, right: 240, bottom: 52, left: 64} as const;
const PLOT_WIDTH = WIDTH - MARGIN.left - MARGIN.right;
const PLOT_HEIGHT = HEIGHT - MARGIN.top - MARGIN.bottom;
const LEGEND_LINE_HEIGHT = 20;
const TICKS_COUNT = 6;

/** Distinguishable also by colour-blind readers; dashes tell the rest apart. */
const COLOURS = [
  '#0072b2',
  '#d55e00',
  '#222222',
  '#009e73',
  '#cc79a7',
  '#e69f00',
  '#56b4e9',
  '#7b3294',
] as const;
const DASHES = ['', '7 3', '2 3'] as const;

/** Draws the chart. */
export function drawChart(options: ChartOptions): string {
  const {lines, reference, span} = options;
  const points = lines.flatMap(line => line.points);
  const lastSeconds = Math.max(
    span.toSeconds,
    ...points.map(({seconds}) => seconds),
  );
  const highest = Math.max(
    reference?.value ?? 0,
    ...points.map(({value}) => value),
  );
  const valueStep = niceStep(highest / TICKS_COUNT);
  const top = Math.max(valueStep, Math.ceil(highest / valueStep) * valueStep);
  const scale: Scale = {
    x: seconds => MARGIN.left + (seconds / lastSeconds) * PLOT_WIDTH,
    y: value => MARGIN.top + PLOT_HEIGHT - (value / top) * PLOT_HEIGHT,
  };
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${String(WIDTH)} ${String(HEIGHT)}" width="${String(WIDTH)}" height="${String(HEIGHT)}" font-family="sans-serif" font-size="13" role="img" aria-label="${escapeText(options.title)}">`,
    `<text x="${String(MARGIN.left)}" y="20" font-size="15" font-weight="bold">${escapeText(options.title)}</text>`,
    drawSpan(span, scale),
    drawValueAxis(scale, top, valueStep, options.valueLabel),
    drawTimeAxis(scale, lastSeconds),
    reference === undefined ? '' : drawReference(reference, scale),
    ...lines.map((line, index) => drawLine(line, index, scale)),
    ...lines.map((line, index) => drawLegendEntry(line.name, index)),
    '</svg>',
  ].join('\n');
}

interface Scale {
  readonly x: (seconds: number) => number;
  readonly y: (value: number) => number;
}

/** Makes text safe within markup. */
export function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function drawSpan(span: ChartSpan, scale: Scale): string {
  const from = scale.x(span.fromSeconds);
  const width = scale.x(span.toSeconds) - from;
  return [
    `<rect x="${round(from)}" y="${String(MARGIN.top)}" width="${round(width)}" height="${String(PLOT_HEIGHT)}" fill="#f3e3c3"/>`,
    `<text x="${round(from + width / 2)}" y="${String(MARGIN.top - 6)}" text-anchor="middle" fill="#7a5a10">${escapeText(span.name)}</text>`,
  ].join('');
}

function drawValueAxis(
  scale: Scale,
  top: number,
  step: number,
  label: string,
): string {
  const parts: string[] = [];
  const right = MARGIN.left + PLOT_WIDTH;
  for (let value = 0; value <= top + step / 2; value += step) {
    const y = round(scale.y(value));
    parts.push(
      `<line x1="${String(MARGIN.left)}" x2="${String(right)}" y1="${y}" y2="${y}" stroke="#dddddd"/>`,
      `<text x="${String(MARGIN.left - 8)}" y="${y}" text-anchor="end" dominant-baseline="middle">${formatTick(value)}</text>`,
    );
  }
  const middle = round(MARGIN.top + PLOT_HEIGHT / 2);
  parts.push(
    `<text x="16" y="${middle}" text-anchor="middle" transform="rotate(-90 16 ${middle})">${escapeText(label)}</text>`,
  );
  return parts.join('');
}

function drawTimeAxis(scale: Scale, lastSeconds: number): string {
  const parts: string[] = [];
  const step = niceStep(lastSeconds / TICKS_COUNT);
  const bottom = MARGIN.top + PLOT_HEIGHT;
  for (let seconds = 0; seconds <= lastSeconds; seconds += step) {
    const x = round(scale.x(seconds));
    parts.push(
      `<line x1="${x}" x2="${x}" y1="${String(bottom)}" y2="${String(bottom + 5)}" stroke="#444444"/>`,
      `<text x="${x}" y="${String(bottom + 19)}" text-anchor="middle">${formatTick(seconds)}</text>`,
    );
  }
  const right = MARGIN.left + PLOT_WIDTH;
  parts.push(
    `<line x1="${String(MARGIN.left)}" x2="${String(right)}" y1="${String(bottom)}" y2="${String(bottom)}" stroke="#444444"/>`,
    `<text x="${round(MARGIN.left + PLOT_WIDTH / 2)}" y="${String(HEIGHT - 10)}" text-anchor="middle">time since the start of the load, s</text>`,
  );
  return parts.join('');
}

function drawReference(
  reference: {readonly name: string; readonly value: number},
  scale: Scale,
): string {
  const y = round(scale.y(reference.value));
  const right = MARGIN.left + PLOT_WIDTH;
  return [
    `<line x1="${String(MARGIN.left)}" x2="${String(right)}" y1="${y}" y2="${y}" stroke="#888888" stroke-dasharray="4 4"/>`,
    `<text x="${String(right - 4)}" y="${round(scale.y(reference.value) - 5)}" text-anchor="end" fill="#666666">${escapeText(reference.name)}</text>`,
  ].join('');
}

function drawLine(line: ChartLine, index: number, scale: Scale): string {
  const points = line.points
    .map(
      ({seconds, value}) =>
        `${round(scale.x(seconds))},${round(scale.y(value))}`,
    )
    .join(' ');
  return `<polyline points="${points}" fill="none" ${strokeOf(index)}/>`;
}

function drawLegendEntry(name: string, index: number): string {
  const x = MARGIN.left + PLOT_WIDTH + 18;
  const y = MARGIN.top + 10 + index * LEGEND_LINE_HEIGHT;
  return [
    `<line x1="${String(x)}" x2="${String(x + 30)}" y1="${String(y)}" y2="${String(y)}" ${strokeOf(index)}/>`,
    `<text x="${String(x + 38)}" y="${String(y)}" dominant-baseline="middle">${escapeText(name)}</text>`,
  ].join('');
}

function strokeOf(index: number): string {
  const colour = COLOURS[index % COLOURS.length] ?? COLOURS[0];
  const dash = DASHES[index % DASHES.length] ?? '';
  const width = index === 0 ? 3 : 1.8;
  return `stroke="${colour}" stroke-width="${String(width)}" stroke-dasharray="${dash}"`;
}

/** The next of 1, 2, 5, 10 and so on. */
function niceStep(roughStep: number): number {
  const power = 10 ** Math.floor(Math.log10(Math.max(roughStep, 1e-9)));
  const factor = [1, 2, 5, 10].find(each => each * power >= roughStep) ?? 10;
  return factor * power;
}

function formatTick(value: number): string {
  return String(Number(value.toFixed(3)));
}

function round(value: number): string {
  return value.toFixed(1);
}
