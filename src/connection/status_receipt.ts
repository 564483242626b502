/**
 * Waiting until the present peers hold the statuses this node holds.
 */
import * as Effect from 'effect/Effect';
import type {Event} from '../base/event.js';
import type {LinkSet} from './link_set.js';
import type {PeerLink} from './peer_link.js';

/** Longest wait; a peer that does not answer must not delay a stop. */
const RECEIPT_MILLIS = 1_000;

/** Options of `awaitStatusReceipt`. */
export interface StatusReceiptOptions {
  readonly links: LinkSet;
  /** Fires with a link after its peer has told what it holds. */
  readonly onDidLearnView: Event<PeerLink>;
  readonly ownDigest: () => bigint;
  /** Asks all peers to tell what they hold. */
  readonly askPeers: () => void;
}

/**
 * Waits until every present peer has told a digest equal to the own one. A
 * message that was merely handed to the socket is lost if the process ends
 * right after; the peers then send work to a host that has gone.
 */
export function awaitStatusReceipt(
  options: StatusReceiptOptions,
): Effect.Effect<void> {
  const {links, ownDigest} = options;
  const received = Effect.callback<undefined>(resume => {
    const waiting = new Set(links);
    const changes = [
      options.onDidLearnView(link => {
        if (link.view?.statusDigest === ownDigest()) waiting.delete(link);
        check();
      }),
      links.onDidChange(() => {
        for (const link of waiting) {
          if (!links.has(link)) waiting.delete(link);
        }
        check();
      }),
    ];
    const stop = (): void => {
      for (const change of changes) change.dispose();
    };
    const check = (): void => {
      if (waiting.size > 0) return;
      stop();
      resume(Effect.succeed(undefined));
    };
    options.askPeers();
    check();
    return Effect.sync(stop);
  });
  return received.pipe(Effect.timeoutOption(RECEIPT_MILLIS), Effect.asVoid);
}
