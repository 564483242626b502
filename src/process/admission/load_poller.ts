/**
 * Which services this node asks about, since it hears of their loads no more.
 *
 * Load pattern: a service sheds, and a node refuses all that its clients want
 * of it. Loads come with answers, and a node that sends nothing gets none: its
 * picture ages, it lets everything in again, and what it lets in fails deeper
 * down.
 */
import type {LoadTable} from './load_table.js';

/** Questions of one node. */
export interface LoadPoller {
  /** A request was refused for the load of a service. */
  recordShed(service: string): void;
  /** Services to ask about now; each is asked about once an interval. */
  dueServices(): readonly string[];
}

/** What questions need. */
export interface LoadPollerOptions {
  readonly loadTable: LoadTable;
  /** The upstream of this host, whose load is known without asking. */
  readonly ownUpstreamId: () => string | undefined;
  readonly nowMillis: () => number;
}

/**
 * Age of the newest report from which it is asked for: a level moves five times
 * a second, and an answer takes some milliseconds.
 */
const MAX_AGE_MILLIS = 400;

/** Who has turned nothing away for this long has nothing to ask. */
const SHED_MILLIS = 1000;

/** Creates the questions of a node that has turned nothing away. */
export function createLoadPoller({
  loadTable,
  ownUpstreamId,
  nowMillis,
}: LoadPollerOptions): LoadPoller {
  const shedMillis = new Map<string, number>();
  const askedMillis = new Map<string, number>();

  const isDue = (service: string, now: number): boolean => {
    const heardMillis = loadTable.lastReportMillis(service, ownUpstreamId());
    const asked = askedMillis.get(service) ?? -Infinity;
    return now - Math.max(heardMillis, asked) >= MAX_AGE_MILLIS;
  };

  return {
    recordShed: service => {
      shedMillis.set(service, nowMillis());
    },
    dueServices: () => {
      const now = nowMillis();
      const services: string[] = [];
      for (const [service, millis] of shedMillis) {
        if (now - millis > SHED_MILLIS) {
          shedMillis.delete(service);
          askedMillis.delete(service);
        } else if (isDue(service, now)) {
          askedMillis.set(service, now);
          services.push(service);
        }
      }
      return services;
    },
  };
}
