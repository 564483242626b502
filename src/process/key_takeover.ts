/**
 * Keys that an earlier executor may have run, and until when they are blocked.
 */
import type {TimeSource} from '../base/time_source.js';
import type {ParsedKey} from './key_format.js';
import type {KeyView} from './key_view.js';
import {settlingMillis} from './view_acceptor.js';
import type {ViewAcquisition} from './view_lease.js';

/** Views remembered; more shorten what this host knows of its own tenure. */
export const TENURE_STEPS_MAXIMUM_COUNT = 32;

/** Tells keys this host may execute from keys another one may have executed. */
export abstract class KeyTakeover {
  /** Notes a lease on another view. */
  abstract recordAcquisition(acquisition: ViewAcquisition): void;
  /** Notes that a stopping host has handed over all it knew of its keys. */
  abstract recordHandOver(fromHostName: string, placementDigest: bigint): void;
  /** Forgets a hand-over: that host has executed keys since. */
  abstract discardHandOver(fromHostName: string): void;
  /** Whether no other executor can have run the key or still run it. */
  abstract isExclusive(key: ParsedKey): boolean;
  /** Whether that holds for every key this host is home of. */
  abstract isFullyExclusive(): boolean;
}

/** What decisions on takeovers need. */
export interface KeyTakeoverOptions {
  readonly hostName: string;
  readonly service: string;
  readonly timeSource: TimeSource;
}

/** A view in an unbroken series of leases. */
interface TenureStep {
  readonly view: KeyView;
  readonly atMillis: number;
  /** Time from `atMillis` until leases on earlier views have ended. */
  readonly settlingMillis: number;
}

/** A complete hand-over, with the time of its arrival. */
interface HandOver {
  readonly placementDigest: bigint;
  readonly atMillis: number;
  readonly atWallMillis: number;
}

/** Creates the takeover state of a host that starts now. */
export function createKeyTakeover(options: KeyTakeoverOptions): KeyTakeover {
  const {hostName, service, timeSource} = options;
  const handOvers = new Map<string, HandOver>();
  let steps: readonly TenureStep[] = [];

  const isOwn = (step: TenureStep, key: ParsedKey): boolean =>
    step.view.homeOf(key.text, service) === hostName;

  /** Index of the first of the latest steps that all make this host home. */
  const firstOwnIndex = (key: ParsedKey): number => {
    let index = steps.length;
    while (index > 0) {
      const earlier = steps[index - 1];
      if (earlier === undefined || !isOwn(earlier, key)) break;
      index -= 1;
    }
    return index;
  };

  const isHandedOver = (key: ParsedKey, index: number): boolean => {
    const step = steps[index];
    const former = steps[index - 1]?.view;
    if (step === undefined || former === undefined) return false;
    const handOver = handOvers.get(former.homeOf(key.text, service) ?? '');
    if (handOver === undefined) return false;
    // A sender that went by another placement was home of other keys; of those
    // it had not taken over yet it knows nothing.
    if (handOver.placementDigest !== former.placementDigest) return false;
    const {windowMillis} = step.view.keys;
    // The predecessor may have been started again before it left the list. It
    // then ran only keys that are younger than its start, or any key once it
    // had been up for the window.
    if (step.atMillis - handOver.atMillis > windowMillis) return false;
    return (
      key.createdMillis === undefined ||
      key.createdMillis <= handOver.atWallMillis
    );
  };

  const forget = (nowMillis: number): void => {
    const settled = steps.findLastIndex(
      step => step.atMillis + blockMillis(step) <= nowMillis,
    );
    if (settled > 0) steps = steps.slice(settled);
    steps = steps.slice(-TENURE_STEPS_MAXIMUM_COUNT);
    for (const [name, {atMillis}] of handOvers) {
      const keptMillis = Math.max(...steps.map(blockMillis));
      if (nowMillis - atMillis > 2 * keptMillis) handOvers.delete(name);
    }
  };

  return new (class extends KeyTakeover {
    override recordAcquisition(acquisition: ViewAcquisition): void {
      const {view, previous, atMillis} = acquisition;
      const last = steps.at(-1);
      if (previous === undefined) steps = [];
      if (
        previous !== undefined &&
        last?.view.placementDigest === view.placementDigest
      ) {
        steps = [...steps.slice(0, -1), {...last, view}];
      } else {
        const step = {
          view,
          atMillis,
          settlingMillis: Math.max(
            settlingMillis(view.keys),
            previous === undefined ? 0 : settlingMillis(previous.keys),
          ),
        };
        steps = [...steps, step];
      }
      forget(atMillis);
    }

    override recordHandOver(
      fromHostName: string,
      placementDigest: bigint,
    ): void {
      handOvers.set(fromHostName, {
        placementDigest,
        atMillis: timeSource.monotonicMillis(),
        atWallMillis: timeSource.wallMillis(),
      });
    }

    override discardHandOver(fromHostName: string): void {
      handOvers.delete(fromHostName);
    }

    override isExclusive(key: ParsedKey): boolean {
      const index = firstOwnIndex(key);
      const step = steps[index];
      if (step === undefined) return false;
      const heldMillis = timeSource.monotonicMillis() - step.atMillis;
      const settledMillis = heldMillis - step.settlingMillis;
      if (settledMillis < 0) return false;
      if (settledMillis >= step.view.keys.windowMillis) return true;
      if (isHandedOver(key, index)) return true;
      if (key.createdMillis === undefined) return false;
      // An executor accepts keys stamped up to the bound ahead of its clock,
      // which may itself be ahead of this one by the bound.
      const settledAtWallMillis = timeSource.wallMillis() - settledMillis;
      const youngerThanMillis =
        settledAtWallMillis + 2 * step.view.keys.clockBoundMillis;
      return key.createdMillis > youngerThanMillis;
    }

    override isFullyExclusive(): boolean {
      const last = steps.at(-1);
      if (last === undefined) return false;
      const heldMillis = timeSource.monotonicMillis() - last.atMillis;
      return heldMillis >= blockMillis(last);
    }
  })();
}

function blockMillis(step: TenureStep): number {
  return step.settlingMillis + step.view.keys.windowMillis;
}
