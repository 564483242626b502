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

/** Versions beyond those held, with the time of the last request for them. */
interface Promised {
  readonly versions: ViewVersions;
  readonly atMillis: number;
}

/** Creates the acceptor of a node that starts now. */
export function createViewAcceptor(options: ViewAcceptorOptions): ViewAcceptor {
  const {currentView, timeSource} = options;
  const startMillis = timeSource.monotonicMillis();
  let promise: Promised | undefined;

  // A restarted host has forgotten what it confirmed. It could then confirm an
  // older view while a lease on a newer one is in force, and two hosts would
  // execute one key. It stays silent until every such lease has ended.
  const isSettled = (view: KeyView): boolean => {
    const upMillis = timeSource.monotonicMillis() - startMillis;
    return upMillis >= settlingMillis(view.keys);
  };

  // A faulty process may ask for a version that was never published; were it
  // remembered for ever, no host of the zone would get a lease again. After the
  // settling time it no longer matters, as after a restart.
  const newestKnown = (held: KeyView): ViewVersions => {
    if (promise === undefined) return held;
    const ageMillis = timeSource.monotonicMillis() - promise.atMillis;
    if (ageMillis >= settlingMillis(held.keys)) {
      promise = undefined;
      return held;
    }
    return newerOf(held, promise.versions);
  };

  return new (class extends ViewAcceptor {
    override accept(versions: ViewVersions): ViewAcceptance {
      const held = currentView();
      if (held === undefined) {
        return {isCurrent: false, policyVersion: 0, listRevision: 0};
      }
      const known = newestKnown(held);
      const newest = newerOf(known, versions);
      if (!isAtLeast(held, versions)) {
        promise = {versions: newest, atMillis: timeSource.monotonicMillis()};
      }
      return {
        isCurrent: isAtLeast(versions, known) && isSettled(held),
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
