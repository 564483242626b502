/**
 * Combines the listeners of several prefixes that share one watch.
 */
import type {DocumentChange} from '../process/membership/document_source.js';
import type {DocumentListener} from './document_listener.js';

/**
 * Creates a listener that passes to each listener the documents below its
 * prefix.
 */
export function createPrefixListener(
  listeners: ReadonlyMap<string, DocumentListener>,
): DocumentListener {
  const filterByPrefix = (
    documents: readonly DocumentChange[],
    prefix: string,
  ): readonly DocumentChange[] =>
    documents.filter(({key}) => key.startsWith(prefix));
  const allListeners = [...listeners.values()];
  return {
    onCall: result => {
      // Reported once, because all listeners share the call.
      allListeners[0]?.onCall(result);
    },
    onRestored: (before, now) => {
      for (const listener of allListeners) listener.onRestored(before, now);
    },
    onLost: reason => {
      for (const listener of allListeners) listener.onLost(reason);
    },
    onReached: lostMillis => {
      for (const listener of allListeners) listener.onReached(lostMillis);
    },
    onSnapshot: (documents, revision) => {
      for (const [prefix, listener] of listeners) {
        listener.onSnapshot(filterByPrefix(documents, prefix), revision);
      }
    },
    onChanges: (documents, revision) => {
      for (const [prefix, listener] of listeners) {
        const changes = filterByPrefix(documents, prefix);
        if (changes.length > 0) listener.onChanges(changes, revision);
      }
    },
  };
}
