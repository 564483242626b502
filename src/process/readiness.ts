/**
 * Whether the node is fit to serve, as told to operators and their tools.
 */

/** Answers whether the node may be sent requests. */
export abstract class Readiness {
  /** What is still missing; empty when the node is ready. */
  abstract waitingFor(): readonly string[];
}
