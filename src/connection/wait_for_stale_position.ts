/**
 * Waits until another node reports a later position in the source.
 */
import * as Effect from 'effect/Effect';
import type {PeerPositions} from '../process/membership/peer_positions.js';

/** Completes once the position of this node is stale. */
export function waitForStalePosition(
  peerPositions: PeerPositions,
): Effect.Effect<undefined> {
  return Effect.callback<undefined>(resume => {
    const subscription = peerPositions.onStale(() => {
      resume(Effect.succeed(undefined));
    });
    return Effect.sync(subscription.dispose);
  });
}
