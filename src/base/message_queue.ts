/**
 * Bounded queue between one or more producers and one asynchronous consumer.
 */

/** A queue that is read by asynchronous iteration. */
export interface MessageQueue<T> extends AsyncIterable<T> {
  /** Adds a message; false if the queue is full or closed. */
  push(message: T): boolean;
  /** Ends the iteration; with an error, after which the iteration throws. */
  close(error?: unknown): void;
  /** Messages that the consumer has not taken yet. */
  readonly length: number;
  readonly isClosed: boolean;
  /** Resolves when the consumer has taken all and asks for more, or at close. */
  whenDrained(): Promise<void>;
}

interface Waiter<T> {
  readonly resolve: (result: IteratorResult<T, undefined>) => void;
  readonly reject: (error: unknown) => void;
}

/** Creates an empty queue for at most `limitCount` waiting messages. */
export function createMessageQueue<T>(limitCount: number): MessageQueue<T> {
  const messages: T[] = [];
  const drainListeners: (() => void)[] = [];
  let waiter: Waiter<T> | undefined;
  let isClosed = false;
  let failure: {readonly error: unknown} | undefined;

  function notifyDrained(): void {
    for (const listener of drainListeners.splice(0)) listener();
  }

  function settle(target: Waiter<T>): void {
    if (failure !== undefined) target.reject(failure.error);
    else target.resolve({done: true, value: undefined});
  }

  function next(): Promise<IteratorResult<T, undefined>> {
    const message = messages.shift();
    if (message !== undefined) {
      return Promise.resolve({done: false, value: message});
    }
    return new Promise((resolve, reject) => {
      if (isClosed) {
        settle({resolve, reject});
        return;
      }
      waiter = {resolve, reject};
      notifyDrained();
    });
  }

  function close(error?: unknown): void {
    if (isClosed) return;
    isClosed = true;
    if (error !== undefined) failure = {error};
    const waiting = waiter;
    waiter = undefined;
    if (waiting !== undefined) settle(waiting);
    notifyDrained();
  }

  return {
    push: message => {
      if (isClosed) return false;
      const waiting = waiter;
      if (waiting !== undefined) {
        waiter = undefined;
        waiting.resolve({done: false, value: message});
        return true;
      }
      if (messages.length >= limitCount) return false;
      messages.push(message);
      return true;
    },
    close,
    get length() {
      return messages.length;
    },
    get isClosed() {
      return isClosed;
    },
    whenDrained: () =>
      new Promise(resolve => {
        if (isClosed || waiter !== undefined) resolve();
        else drainListeners.push(resolve);
      }),
    [Symbol.asyncIterator]: () => ({
      next,
      return: () => {
        close();
        return Promise.resolve({done: true, value: undefined});
      },
      throw: (error: unknown) => {
        close(error);
        return Promise.reject(error instanceof Error ? error : new Error());
      },
    }),
  };
}
