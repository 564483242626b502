/**
 * Histograms of the time to answers, by route and status.
 *
 * Purpose: processor time of each answer. The metrics library builds an object
 * and a text of all labels for each observation; here it is two look-ups.
 */

/** Times to answers. */
export interface ResponseTimes {
  record(routeName: string, statusCode: number, millis: number): void;
  /** All histograms in the Prometheus text format. */
  text(): string;
}

interface Tally {
  /** One for each bound, and one for what lies beyond them. */
  readonly counts: number[];
  sumMillis: number;
}

/** Creates times of a name, with upper bounds in ascending order. */
export function createResponseTimes(
  name: string,
  help: string,
  boundsMillis: readonly number[],
): ResponseTimes {
  const byRoute = new Map<string, Map<number, Tally>>();

  const tallyOf = (routeName: string, statusCode: number): Tally => {
    let byStatus = byRoute.get(routeName);
    if (byStatus === undefined) {
      byStatus = new Map();
      byRoute.set(routeName, byStatus);
    }
    let tally = byStatus.get(statusCode);
    if (tally === undefined) {
      tally = {counts: [...boundsMillis.map(() => 0), 0], sumMillis: 0};
      byStatus.set(statusCode, tally);
    }
    return tally;
  };

  return {
    record: (routeName, statusCode, millis) => {
      const tally = tallyOf(routeName, statusCode);
      let index = 0;
      while (millis > (boundsMillis[index] ?? Infinity)) index += 1;
      tally.counts[index] = (tally.counts[index] ?? 0) + 1;
      tally.sumMillis += millis;
    },
    text: () => {
      const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} histogram`];
      for (const [route, byStatus] of byRoute) {
        for (const [status, tally] of byStatus) {
          const labels = `route="${escapeLabel(route)}",status="${String(status)}"`;
          lines.push(...linesOf(name, labels, boundsMillis, tally));
        }
      }
      return lines.join('\n');
    },
  };
}

function linesOf(
  name: string,
  labels: string,
  boundsMillis: readonly number[],
  {counts, sumMillis}: Tally,
): readonly string[] {
  const lines: string[] = [];
  let count = 0;
  for (const [index, bound] of [...boundsMillis, '+Inf'].entries()) {
    count += counts[index] ?? 0;
    lines.push(
      `${name}_bucket{le="${String(bound)}",${labels}} ${String(count)}`,
    );
  }
  lines.push(`${name}_sum{${labels}} ${String(sumMillis)}`);
  lines.push(`${name}_count{${labels}} ${String(count)}`);
  return lines;
}

function escapeLabel(text: string): string {
  return text
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
