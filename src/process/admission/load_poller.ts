/**
 * Determines the services whose load this node polls because it no longer
 * receives reports.
 *
 * Load pattern: a service sheds load, and a node rejects all requests of its
 * clients for that service. Load reports are part of responses, so a node that
 * sends nothing receives none: its reports age, it admits everything again, and
 * the admitted requests fail deeper in the call graph.
 */
import type {LoadTable} from './load_table.js';

/** Load polling of one node. */
export interface LoadPoller {
  /** Records that a request was rejected for the load of a service. */
  recordShed(service: string): void;
  /** Services to poll now; each is polled at most once per interval. */
  dueServices(): readonly string[];
}

/** Dependencies of a load poller. */
export interface LoadPollerOptions {
  readonly loadTable: LoadTable;
  /** Local upstream, whose load is known without polling. */
  readonly ownUpstreamId: () => string | undefined;
  readonly nowMillis: () => number;
}

/**
 * Age of the newest report from which a service is polled: a level changes five
 * times a second, and a response takes some milliseconds.
 */
const MAX_AGE_MILLIS = 400;

/** Time without rejections after which a service is no longer polled. */
const POLL_AFTER_SHED_MILLIS = 1000;

/** Creates the poller of a node that has not rejected any request. */
export function createLoadPoller({
  loadTable,
  ownUpstreamId,
  nowMillis,
}: LoadPollerOptions): LoadPoller {
  const shedMillis = new Map<string, number>();
  const polledMillis = new Map<string, number>();

  const isDue = (service: string, now: number): boolean => {
    const reportedMillis = loadTable.lastReportMillis(service, ownUpstreamId());
    const lastPolledMillis = polledMillis.get(service) ?? -Infinity;
    return now - Math.max(reportedMillis, lastPolledMillis) >= MAX_AGE_MILLIS;
  };

  return {
    recordShed: service => {
      shedMillis.set(service, nowMillis());
    },
    dueServices: () => {
      const now = nowMillis();
      const services: string[] = [];
      for (const [service, millis] of shedMillis) {
        if (now - millis > POLL_AFTER_SHED_MILLIS) {
          shedMillis.delete(service);
          polledMillis.delete(service);
        } else if (isDue(service, now)) {
          polledMillis.set(service, now);
          services.push(service);
        }
      }
      return services;
    },
  };
}
