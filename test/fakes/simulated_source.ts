/**
 * In-memory document source with simulated outages, history compaction and restores, on a
 * clock that the test advances.
 */
import type {
  DocumentChange,
  DocumentBatch,
  DocumentSource,
  SourcePosition,
} from '../../src/process/membership/document_source.js';

export interface SimulatedSource extends DocumentSource {
  /** Number of calls so far, including pending ones. */
  readonly callsCount: number;
  /** Revision of the last change. */
  readonly revision: number;
  /** Current texts by key. */
  readonly texts: ReadonlyMap<string, string>;
  /** Changes a document; returns the new revision, which is also the default text. */
  change(key: string, text?: string): number;
  remove(key: string): void;
  /**
   * Sets whether the source responds: `refusing` fails calls immediately, `silent` and
   * `stalled` let them time out. Pending calls fail, but with `stalled` they time out too.
   */
  setState(state: SourceState): void;
  /** Discards the history up to the current revision. */
  compact(): void;
  takeSnapshot(): SourceSnapshot;
  /** Restores a snapshot; pending calls fail. */
  restore(snapshot: SourceSnapshot): void;
  /** Whether new watches get neither changes nor `history-lost` until their wait is over. */
  stallWatches(isStalled: boolean): void;
  /** Settles the calls that are due. */
  tick(): void;
}

export type SourceState = 'healthy' | 'refusing' | 'silent' | 'stalled';

/** State of a source at one time. */
export interface SourceSnapshot {
  readonly documents: ReadonlyMap<string, DocumentChange>;
  readonly history: readonly DocumentChange[];
  readonly oldestRevision: number;
  readonly revision: number;
}

/** Time beyond its wait after which a call without a response fails. */
const RESPONSE_TIMEOUT_MILLIS = 1000;

interface PendingCall {
  readonly afterRevision: number;
  readonly untilMillis: number;
  readonly isResponding: boolean;
  /** Does not end before its wait is over. */
  readonly isStalled: boolean;
  readonly resolve: (read: DocumentBatch | 'history-lost') => void;
  readonly reject: (error: Error) => void;
}

export interface SimulatedSourceOptions {
  /** Time from a response of the source to its arrival. */
  readonly responseDelayMillis: number;
  /** Resolves after a time of the simulated clock. */
  readonly wait: (millis: number) => Promise<unknown>;
}

const WITHOUT_DELAY: SimulatedSourceOptions = {
  responseDelayMillis: 0,
  wait: () => Promise.resolve(),
};

export function createSimulatedSource(
  nowMillis: () => number,
  {responseDelayMillis, wait}: SimulatedSourceOptions = WITHOUT_DELAY,
): SimulatedSource {
  let documents = new Map<string, DocumentChange>();
  let history: DocumentChange[] = [];
  const pendingCalls = new Set<PendingCall>();
  let epoch = 0;
  let revision = 1;
  let oldestRevision = 1;
  let state: SourceState = 'healthy';
  let callsCount = 0;
  let isStalled = false;

  const currentPosition = (): SourcePosition => ({epoch, revision});

  const changesSince = (afterRevision: number): readonly DocumentChange[] =>
    history.filter(item => item.revision > afterRevision);

  const record = (change: DocumentChange): void => {
    history.push(change);
    if (change.text === undefined) documents.delete(change.key);
    else documents.set(change.key, change);
  };

  const failPendingCalls = (): void => {
    for (const call of pendingCalls) call.reject(new Error('connection lost'));
    pendingCalls.clear();
  };

  const isHistoryLost = (afterRevision: number): boolean =>
    afterRevision < oldestRevision || afterRevision > revision;

  const settleIfDue = (call: PendingCall): void => {
    const isWaitOver = nowMillis() >= call.untilMillis;
    if (state === 'stalled' && call.isResponding) {
      if (nowMillis() < call.untilMillis + RESPONSE_TIMEOUT_MILLIS) return;
      pendingCalls.delete(call);
      call.reject(new Error('no response'));
      return;
    }
    if (!call.isResponding) {
      if (!isWaitOver) return;
      pendingCalls.delete(call);
      call.reject(new Error('no response'));
      return;
    }
    const changes = changesSince(call.afterRevision);
    const hasNews = changes.length > 0 || isHistoryLost(call.afterRevision);
    if ((!hasNews || call.isStalled) && !isWaitOver) return;
    pendingCalls.delete(call);
    if (isHistoryLost(call.afterRevision)) call.resolve('history-lost');
    else call.resolve({documents: changes, position: currentPosition()});
  };

  const startCall = (
    afterRevision: number,
    waitMillis: number,
    signal?: AbortSignal,
  ): Promise<DocumentBatch | 'history-lost'> => {
    callsCount += 1;
    if (state === 'refusing') return Promise.reject(new Error('refused'));
    const isResponding = state === 'healthy';
    return new Promise((resolve, reject) => {
      const graceMillis = isResponding ? 0 : RESPONSE_TIMEOUT_MILLIS;
      const untilMillis = nowMillis() + waitMillis + graceMillis;
      const call = {
        afterRevision,
        untilMillis,
        isResponding,
        isStalled: isStalled && waitMillis > 0,
        resolve,
        reject,
      };
      pendingCalls.add(call);
      signal?.addEventListener('abort', () => {
        pendingCalls.delete(call);
        reject(new Error('aborted'));
      });
      settleIfDue(call);
    });
  };

  return {
    get callsCount() {
      return callsCount;
    },
    read: async () => {
      await startCall(0, 0);
      const documentsRead = [...documents.values()];
      const position = currentPosition();
      await wait(responseDelayMillis);
      return {documents: documentsRead, position};
    },
    watch: async (_prefix, afterRevision, waitMillis, signal) => {
      // The platform's store does not wait if the wait is not a whole number.
      const acceptedMillis = Number.isInteger(waitMillis) ? waitMillis : 0;
      const result = await startCall(afterRevision, acceptedMillis, signal);
      await wait(responseDelayMillis);
      return result;
    },
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
      if (next === 'refusing' || next === 'silent') failPendingCalls();
    },
    stallWatches: next => {
      isStalled = next;
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
    restore: snapshot => {
      documents = new Map(snapshot.documents);
      history = [...snapshot.history];
      ({oldestRevision, revision} = snapshot);
      epoch += 1;
      failPendingCalls();
    },
    tick: () => {
      for (const call of [...pendingCalls]) settleIfDue(call);
    },
    dispose: () => undefined,
  };
}
