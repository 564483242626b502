/**
 * Acceptance of views by an elector: a host that accepted a view accepts no
 * older one afterwards.
 */
import type {TimeSource} from '../base/time_source.js';
import type {KeyPolicy} from '../version/policy.js';
import type {KeyView} from './key_view.js';

/** The versions of a view that a node asks to have confirmed. */
export interface ViewVersions {
  readonly policyVersion: number;
  readonly listRevision: number;
}

/** An elector's answer with the newest versions it knows of. */
export interface ViewAcceptance extends ViewVersions {
  /** True when the elector knows of nothing newer and may vouch for that. */
  readonly isCurrent: boolean;
}

/** Answers nodes that ask to have their view confirmed. */
export abstract class ViewAcceptor {
  abstract accept(versions: ViewVersions): ViewAcceptance;
}

/** What an acceptor reads. */
export interface ViewAcceptorOptions {
  readonly currentView: () => KeyView | undefined;
  readonly timeSource: TimeSource;
}

/** Share by which two monotonic clocks may run at different rates. */
const CLOCK_RATE_MARGIN_RATIO = 0.1;

/**
 * Time after which no lease can matter that was confirmed before: one lease,
 * one more for the longest gap between two rounds that counts as continuous,
 * and for each a margin for clocks that run at different rates or stood still
 * for less than a jump.
 */
export function settlingMillis(keys: KeyPolicy): number {
  const leaseMillis = keys.leaseMillis * (1 + CLOCK_RATE_MARGIN_RATIO);
  return Math.ceil(2 * (leaseMillis + keys.clockBoundMillis));
}

/** Creates the acceptor of a node that starts now. */
export function createViewAcceptor(options: ViewAcceptorOptions): ViewAcceptor {
  const startMillis = options.timeSource.monotonicMillis();
  let newest: ViewVersions = {policyVersion: 0, listRevision: 0};

  // A restarted host has forgotten what it confirmed. It could then confirm an
  // older view while a lease on a newer one is in force, and two hosts would
  // execute one key. It stays silent until every such lease has ended.
  const isSettled = (view: KeyView): boolean => {
    const upMillis = options.timeSource.monotonicMillis() - startMillis;
    return upMillis >= settlingMillis(view.keys);
  };

  return new (class extends ViewAcceptor {
    override accept(versions: ViewVersions): ViewAcceptance {
      const held = options.currentView();
      if (held !== undefined) newest = newerOf(newest, held);
      const isCurrent = isAtLeast(versions, newest);
      newest = newerOf(newest, versions);
      return {
        isCurrent: isCurrent && held !== undefined && isSettled(held),
        policyVersion: newest.policyVersion,
        listRevision: newest.listRevision,
      };
    }
  })();
}

function isAtLeast(a: ViewVersions, b: ViewVersions): boolean {
  return a.policyVersion >= b.policyVersion && a.listRevision >= b.listRevision;
}

function newerOf(a: ViewVersions, b: ViewVersions): ViewVersions {
  return {
    policyVersion: Math.max(a.policyVersion, b.policyVersion),
    listRevision: Math.max(a.listRevision, b.listRevision),
  };
}
