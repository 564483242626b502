/**
 * Follows the documents below one prefix of a source: a read of all, then one
 * watch after the other, again from the start when the history was lost.
 */
import * as Effect from 'effect/Effect';
import {describeError} from '../base/errors.js';
import type {
  DocumentChange,
  DocumentRead,
  DocumentSource,
} from '../process/document_source.js';

/** What came of a call to the source. */
export type SourceCall =
  | 'read'
  /** A watch that brought changes. */
  | 'changed'
  /** A watch that ran out. */
  | 'unchanged'
  | 'history-lost'
  | 'failed';

/** What a follower tells its owner. */
export interface DocumentListener {
  /** A call has ended; each one has its price. */
  onCall(call: SourceCall): void;
  /** All documents of now; what is missing no longer exists. */
  onSnapshot(documents: readonly DocumentChange[], revision: number): void;
  onChanges(documents: readonly DocumentChange[], revision: number): void;
  /** The first failure after an answer. */
  onLost(reason: string): void;
  /** The first answer, and the first one after a failure. */
  onReached(wasLostMillis: number): void;
}

/** What a follower needs. */
export interface DocumentFollowerOptions {
  readonly source: DocumentSource;
  readonly prefix: string;
  readonly listener: DocumentListener;
  readonly nowMillis: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/**
 * Wait of one watch. A connection that went silent is noticed when its watch
 * is overdue, so this bounds how long a node works with an old picture; a
 * waiting watch every 3 s is a third of a call a second for each prefix.
 */
const WATCH_WAIT_MILLIS = 3000;

/**
 * Wait of a watch while the source is lost. A source that answers again is then
 * noticed within two seconds, not only when a long watch that was sent into the
 * loss is overdue: what left meanwhile would be used for as long.
 */
const LOST_WAIT_MILLIS = 100;

/**
 * Pause after a failure, plus as much again by chance. Short, since a node that
 * comes back must know soon what left meanwhile; spread, since all nodes lose a
 * store at the same moment.
 */
const RETRY_PAUSE_MILLIS = 100;

/** A task that follows for ever; interrupt it to stop. */
export function followDocuments(
  options: DocumentFollowerOptions,
): Effect.Effect<never> {
  const {source, prefix, listener} = options;
  let revision: number | undefined;
  let lostAtMillis: number | undefined;
  let isFirst = true;

  const reached = (): void => {
    if (!isFirst && lostAtMillis === undefined) return;
    const lostMillis =
      lostAtMillis === undefined ? 0 : options.nowMillis() - lostAtMillis;
    isFirst = false;
    lostAtMillis = undefined;
    listener.onReached(lostMillis);
  };

  const step = async (): Promise<void> => {
    if (revision === undefined) {
      const all = await source.read(prefix);
      reached();
      listener.onCall('read');
      listener.onSnapshot(all.documents, all.revision);
      revision = all.revision;
      return;
    }
    const news: DocumentRead | 'history-lost' = await source.watch(
      prefix,
      revision,
      lostAtMillis === undefined ? WATCH_WAIT_MILLIS : LOST_WAIT_MILLIS,
    );
    reached();
    if (news === 'history-lost') {
      listener.onCall('history-lost');
      revision = undefined;
      return;
    }
    listener.onCall(news.documents.length > 0 ? 'changed' : 'unchanged');
    if (news.documents.length > 0) {
      listener.onChanges(news.documents, news.revision);
    }
    revision = Math.max(revision, news.revision);
  };

  const failed = (error: unknown): Effect.Effect<void> => {
    listener.onCall('failed');
    if (lostAtMillis === undefined && !isFirst) {
      lostAtMillis = options.nowMillis();
      listener.onLost(describeError(error));
    }
    return Effect.sleep(RETRY_PAUSE_MILLIS * (1 + options.random()));
  };

  return Effect.tryPromise({try: step, catch: error => error}).pipe(
    Effect.catch(failed),
    Effect.forever,
  );
}
