/**
 * Bound on the retries this node sends in relation to its first attempts.
 */

/** Token bucket filled by first attempts and, slowly, by time. */
export abstract class RetryBudget {
  abstract configure(ratio: number, minimumPerSecond: number): void;
  abstract recordFirstAttempt(): void;
  /** Takes one retry if the budget allows it. */
  abstract tryTake(): boolean;
}
