/**
 * When the picture of the fleet was last confirmed, and when the platform last
 * answered any node this one hears of.
 */
import type {Disposable} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import {createEmitter} from '../base/event.js';
import type {TimeSource} from '../base/time_source.js';

/** What confirmed the picture. */
export type ConfirmationSource = 'peer' | 'platform';

/** Age of what this process knows. */
export abstract class ViewFreshness implements Disposable {
  /**
   * Monotonic time of the latest confirmation that nothing newer is known
   * elsewhere; undefined before any and after a pause.
   */
  abstract lastConfirmedMonotonicMillis(): number | undefined;
  abstract confirm(source: ConfirmationSource): void;
  /** Treats the picture as unconfirmed until the next confirmation. */
  abstract invalidate(): void;
  /** Age of the platform's latest answer to any node; undefined before any. */
  abstract platformAgeMillis(): number | undefined;
  /** Takes the age a peer reported. */
  abstract learnPlatformAge(ageMillis: number): void;
  abstract readonly onDidInvalidate: Event<void>;
  abstract dispose(): void;
}

/** Creates a record without any confirmation. */
export function createViewFreshness(time: TimeSource): ViewFreshness {
  const invalidated = createEmitter<undefined>();
  let confirmedAtMillis: number | undefined;
  let platformAnsweredAtMillis: number | undefined;

  function learnPlatformAnswer(answeredAtMillis: number): void {
    const known = platformAnsweredAtMillis ?? Number.NEGATIVE_INFINITY;
    platformAnsweredAtMillis = Math.max(known, answeredAtMillis);
  }

  return new (class extends ViewFreshness {
    override readonly onDidInvalidate = invalidated.event as Event<void>;

    override lastConfirmedMonotonicMillis(): number | undefined {
      return confirmedAtMillis;
    }
    override confirm(source: ConfirmationSource): void {
      confirmedAtMillis = time.monotonicMillis();
      if (source === 'platform') learnPlatformAnswer(confirmedAtMillis);
    }
    override invalidate(): void {
      confirmedAtMillis = undefined;
      invalidated.fire(undefined);
    }
    override platformAgeMillis(): number | undefined {
      if (platformAnsweredAtMillis === undefined) return undefined;
      return time.monotonicMillis() - platformAnsweredAtMillis;
    }
    override learnPlatformAge(ageMillis: number): void {
      learnPlatformAnswer(time.monotonicMillis() - ageMillis);
    }
    override dispose(): void {
      invalidated.dispose();
    }
  })();
}
