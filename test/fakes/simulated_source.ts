/**
 * A source of documents on a clock that a test moves: changes, losses and a
 * history of any length, and what its follower made of them.
 */
import type {
  DocumentChange,
  DocumentBatch,
  DocumentSource,
  SourcePosition,
} from '../../src/process/membership/document_source.js';

/** The source. */
export interface SimulatedSource extends DocumentSource {
  /** Calls so far, waiting ones included. */
  readonly callsCount: number;
  /** Revision of the last change. */
  readonly revision: number;
  /** Keys and texts of now. */
  readonly texts: ReadonlyMap<string, string>;
  /** Changes a document, to its revision if no text is given; returns that. */
  change(key: string, text?: string): number;
  remove(key: string): void;
  /**
   * Loses the source: calls fail at once, or are not answered. Those under way are
   * cut, but for `stalled`: they hear nothing either.
   */
  setState(state: SourceState): void;
  /** Drops the history before now. */
  compact(): void;
  takeSnapshot(): SourceSnapshot;
  /** Comes back from a copy; waiting calls are cut. */
  restore(copy: SourceSnapshot): void;
  /** Watches hear nothing, neither news nor that history was lost, until their end. */
  stallWatches(isHeld: boolean): void;
  /** Answers what is due. */
  tick(): void;
}

/** Whether a source answers. */
export type SourceState = 'healthy' | 'refusing' | 'silent' | 'stalled';

/** What a source held at one moment. */
export interface SourceSnapshot {
  readonly documents: ReadonlyMap<string, DocumentChange>;
  readonly history: readonly DocumentChange[];
  readonly oldestRevision: number;
  readonly revision: number;
}

/** Time after which a call that gets no answer fails, beyond its wait. */
const OVERDUE_MILLIS = 1000;

interface Waiting {
  readonly afterRevision: number;
  readonly untilMillis: number;
  readonly isAnswered: boolean;
  /** Nothing ends it before its time. */
  readonly isHeld: boolean;
  readonly resolve: (read: DocumentBatch | 'history-lost') => void;
  readonly reject: (error: Error) => void;
}

/** Creates a source without documents. */
export function createSimulatedSource(
  nowMillis: () => number,
): SimulatedSource {
  let documents = new Map<string, DocumentChange>();
  let history: DocumentChange[] = [];
  const waiting = new Set<Waiting>();
  let epoch = 0;
  let revision = 1;
  let oldestRevision = 1;
  let state: SourceState = 'healthy';
  let callsCount = 0;
  let isHeld = false;

  const positionNow = (): SourcePosition => ({epoch, revision});

  const since = (afterRevision: number): readonly DocumentChange[] =>
    history.filter(item => item.revision > afterRevision);

  const record = (change: DocumentChange): void => {
    history.push(change);
    if (change.text === undefined) documents.delete(change.key);
    else documents.set(change.key, change);
  };

  const cutAll = (): void => {
    for (const call of waiting) call.reject(new Error('cut'));
    waiting.clear();
  };

  const isUnknown = (afterRevision: number): boolean =>
    afterRevision < oldestRevision || afterRevision > revision;

  const answer = (call: Waiting): void => {
    const isOver = nowMillis() >= call.untilMillis;
    if (state === 'stalled' && call.isAnswered) {
      if (nowMillis() < call.untilMillis + OVERDUE_MILLIS) return;
      waiting.delete(call);
      call.reject(new Error('no answer'));
      return;
    }
    if (!call.isAnswered) {
      if (!isOver) return;
      waiting.delete(call);
      call.reject(new Error('no answer'));
      return;
    }
    const changes = since(call.afterRevision);
    const isNews = changes.length > 0 || isUnknown(call.afterRevision);
    if ((!isNews || call.isHeld) && !isOver) return;
    waiting.delete(call);
    if (isUnknown(call.afterRevision)) call.resolve('history-lost');
    else call.resolve({documents: changes, position: positionNow()});
  };

  const ask = (
    afterRevision: number,
    waitMillis: number,
    signal?: AbortSignal,
  ): Promise<DocumentBatch | 'history-lost'> => {
    callsCount += 1;
    if (state === 'refusing') return Promise.reject(new Error('refused'));
    const isAnswered = state === 'healthy';
    return new Promise((resolve, reject) => {
      const graceMillis = isAnswered ? 0 : OVERDUE_MILLIS;
      const untilMillis = nowMillis() + waitMillis + graceMillis;
      const call = {
        afterRevision,
        untilMillis,
        isAnswered,
        isHeld: isHeld && waitMillis > 0,
        resolve,
        reject,
      };
      waiting.add(call);
      signal?.addEventListener('abort', () => {
        waiting.delete(call);
        reject(new Error('aborted'));
      });
      answer(call);
    });
  };

  return {
    get callsCount() {
      return callsCount;
    },
    read: async () => {
      await ask(0, 0);
      return {documents: [...documents.values()], position: positionNow()};
    },
    watch: (_prefix, afterRevision, waitMillis, signal) =>
      ask(afterRevision, waitMillis, signal),
    get revision() {
      return revision;
    },
    get texts() {
      return new Map(
        [...documents.values()].map(({key, text = ''}) => [key, text]),
      );
    },
    change: (key, text) => {
      revision += 1;
      record({key, revision, text: text ?? String(revision)});
      return revision;
    },
    remove: key => {
      revision += 1;
      record({key, revision, text: undefined});
    },
    setState: next => {
      state = next;
      if (next === 'refusing' || next === 'silent') cutAll();
    },
    stallWatches: next => {
      isHeld = next;
    },
    compact: () => {
      oldestRevision = revision;
      history = [];
    },
    takeSnapshot: () => ({
      documents: new Map(documents),
      history: [...history],
      oldestRevision,
      revision,
    }),
    restore: copy => {
      documents = new Map(copy.documents);
      history = [...copy.history];
      ({oldestRevision, revision} = copy);
      epoch += 1;
      cutAll();
    },
    tick: () => {
      for (const call of [...waiting]) answer(call);
    },
    dispose: () => undefined,
  };
}
