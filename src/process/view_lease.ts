/**
 * Lease on a view: permission to execute keyed work, renewed by rounds in which
 * a quorum of the zone's electors confirms that it knows of nothing newer.
 */
import type {Emitter, Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {Disposable} from '../base/lifecycle.js';
import type {TimeSource} from '../base/time_source.js';
import type {KeyView} from './key_view.js';
import {quorumCount} from './key_view.js';
import type {ViewAcceptor} from './view_acceptor.js';

/** A lease taken on a view other than the one held before. */
export interface ViewAcquisition {
  readonly view: KeyView;
  /**
   * The view held until now; undefined when another host may have held a lease
   * on a conflicting view since.
   */
  readonly previous: KeyView | undefined;
  /** Monotonic time at which the quorum was complete. */
  readonly atMillis: number;
}

/** One request for confirmation to every elector. */
export interface ConfirmationRound {
  readonly view: KeyView;
  /** Electors to ask, without the own host. */
  readonly electors: readonly string[];
  /** Confirmations still needed for a quorum. */
  missingCount(): number;
  /** Notes a confirmation; returns whether the lease is now in force. */
  confirm(electorName: string): boolean;
}

/** Permission to execute keyed work under a view. */
export abstract class ViewLease implements Disposable {
  /** The view under an unexpired lease. */
  abstract heldView(): KeyView | undefined;
  /** Whether there is such a view. */
  abstract isHeld(): boolean;
  /** Starts a round on the current view; undefined while there is none. */
  abstract beginRound(): ConfirmationRound | undefined;
  /** Fires when a lease on another view is taken or one is taken anew. */
  abstract readonly onDidAcquire: Event<ViewAcquisition>;
  abstract dispose(): void;
}

/** What a lease reads. */
export interface ViewLeaseOptions {
  readonly hostName: string;
  readonly currentView: () => KeyView | undefined;
  readonly acceptor: ViewAcceptor;
  readonly timeSource: TimeSource;
}

/** The last round that reached a quorum. */
interface Grant {
  readonly view: KeyView;
  /** Monotonic time before the first request of the round left. */
  readonly sentMillis: number;
  /** Wall time minus monotonic time at that moment. */
  readonly clockOffsetMillis: number;
}

/** Creates a lease that is not held yet. */
export function createViewLease(options: ViewLeaseOptions): ViewLease {
  const {hostName, acceptor, timeSource} = options;
  const acquired: Emitter<ViewAcquisition> = createEmitter();
  let grant: Grant | undefined;

  const clockOffsetMillis = (): number =>
    timeSource.wallMillis() - timeSource.monotonicMillis();

  // After a suspension of the machine the monotonic clock may not have counted
  // the pause: the lease looks unexpired while a successor already executes.
  // The wall clock, set on resumption, then differs from the monotonic one.
  const hasClockJumped = (since: Grant): boolean =>
    Math.abs(clockOffsetMillis() - since.clockOffsetMillis) >
    since.view.keys.clockBoundMillis;

  const isUnexpired = (candidate: Grant): boolean =>
    timeSource.monotonicMillis() - candidate.sentMillis <
      candidate.view.keys.leaseMillis && !hasClockJumped(candidate);

  const acquire = (next: Grant): boolean => {
    if (!isUnexpired(next)) return false;
    if (grant !== undefined && grant.sentMillis > next.sentMillis) return true;
    // A gap of up to one lease between two rounds leaves no room for another
    // executor: it would have had to settle in that gap, which takes longer.
    const previous =
      grant !== undefined && isUnexpired(grant) ? grant.view : undefined;
    grant = next;
    if (previous !== next.view) {
      acquired.fire({
        view: next.view,
        previous,
        atMillis: timeSource.monotonicMillis(),
      });
    }
    return true;
  };

  return new (class extends ViewLease {
    override readonly onDidAcquire = acquired.event;

    override heldView(): KeyView | undefined {
      if (grant === undefined) return undefined;
      if (!isUnexpired(grant)) return undefined;
      return grant.view;
    }

    override isHeld(): boolean {
      return this.heldView() !== undefined;
    }

    override beginRound(): ConfirmationRound | undefined {
      const view = options.currentView();
      if (view === undefined) return undefined;
      const next: Grant = {
        view,
        sentMillis: timeSource.monotonicMillis(),
        clockOffsetMillis: clockOffsetMillis(),
      };
      const {electors} = view;
      const confirmed = new Set<string>();
      const missingCount = (): number =>
        Math.max(0, quorumCount(electors.length) - confirmed.size);
      const confirm = (electorName: string): boolean => {
        if (electors.includes(electorName)) confirmed.add(electorName);
        return missingCount() === 0 && acquire(next);
      };
      if (acceptor.accept(view).isCurrent) confirm(hostName);
      const others = electors.filter(name => name !== hostName);
      return {view, electors: others, missingCount, confirm};
    }

    override dispose(): void {
      acquired.dispose();
    }
  })();
}
