/**
 * Follows the documents below one prefix of a source: a read of all, then one
 * watch after the other with pauses in which changes gather, again from the
 * start when the history was lost.
 */
import * as Effect from 'effect/Effect';
import {describeError} from '../base/errors.js';
import type {
  DocumentChange,
  DocumentRead,
  DocumentSource,
} from '../process/membership/document_source.js';
import type {FollowPace} from '../process/membership/follow_pace.js';

/** What came of a call to the source. */
export type SourceCall =
  | 'read'
  /** A watch that brought changes. */
  | 'changed'
  /** A watch that ran out. */
  | 'unchanged'
  | 'history-lost'
  | 'failed';

/** How one call to the source ended. */
export interface SourceCallEnd {
  readonly call: SourceCall;
  /** Revision that a watch asked from; `undefined` for a read. */
  readonly afterRevision: number | undefined;
  /** Revision that the answer tells, if there is one. */
  readonly revision: number | undefined;
  readonly documentsCount: number;
  readonly tookMillis: number;
}

/** What a follower tells its owner. */
export interface DocumentListener {
  /** A call has ended; each one has its price. */
  onCall(end: SourceCallEnd): void;
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
  readonly pace: FollowPace;
  readonly nowMillis: () => number;
}

/** A task that follows for ever; interrupt it to stop. */
export function followDocuments(
  options: DocumentFollowerOptions,
): Effect.Effect<never> {
  const {source, prefix, listener, pace} = options;
  let revision: number | undefined;
  let lostAtMillis: number | undefined;
  let askedMillis = 0;
  let isFirst = true;
  let isRead = false;

  const tellCall = (call: SourceCall, answer?: DocumentRead): void => {
    listener.onCall({
      call,
      afterRevision: revision,
      revision: answer?.revision,
      documentsCount: answer?.documents.length ?? 0,
      tookMillis: Math.round(options.nowMillis() - askedMillis),
    });
  };

  const reached = (): void => {
    pace.noteAnswered();
    if (!isFirst && lostAtMillis === undefined) return;
    const lostMillis =
      lostAtMillis === undefined ? 0 : options.nowMillis() - lostAtMillis;
    isFirst = false;
    lostAtMillis = undefined;
    listener.onReached(lostMillis);
  };

  /**
   * Returns the pause before the next call. A history that is lost again and
   * again costs a read each time; what is changed after one may gather as well.
   */
  const readAll = async (): Promise<number> => {
    const wasRead = isRead;
    const all = await source.read(prefix);
    reached();
    tellCall('read', all);
    listener.onSnapshot(all.documents, all.revision);
    revision = all.revision;
    isRead = true;
    return wasRead ? pace.gatherMillis() : 0;
  };

  /** Returns the pause before the next call. */
  const watchFrom = async (afterRevision: number): Promise<number> => {
    const news: DocumentRead | 'history-lost' = await source.watch(
      prefix,
      afterRevision,
      pace.watchWaitMillis(),
    );
    reached();
    if (news === 'history-lost') {
      tellCall('history-lost');
      revision = undefined;
      return 0;
    }
    const isUnchanged = news.documents.length === 0;
    tellCall(isUnchanged ? 'unchanged' : 'changed', news);
    revision = Math.max(afterRevision, news.revision);
    if (isUnchanged) return 0;
    listener.onChanges(news.documents, news.revision);
    return pace.gatherMillis();
  };

  const step = async (): Promise<number> => {
    askedMillis = options.nowMillis();
    if (revision !== undefined) return watchFrom(revision);
    return readAll();
  };

  const failed = (error: unknown): number => {
    tellCall('failed');
    if (lostAtMillis === undefined && !isFirst) {
      lostAtMillis = options.nowMillis();
      listener.onLost(describeError(error));
    }
    return pace.retryMillis(options.nowMillis() - askedMillis);
  };

  return Effect.tryPromise({try: step, catch: error => error}).pipe(
    Effect.catch(error => Effect.sync(() => failed(error))),
    Effect.flatMap(pauseMillis =>
      pauseMillis > 0 ? Effect.sleep(pauseMillis) : Effect.void,
    ),
    Effect.forever,
  );
}
