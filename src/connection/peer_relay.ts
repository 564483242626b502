/**
 * Gets changes of the published documents from the node that watches for this one,
 * and answers nodes that ask this one.
 */
import type {
  DocumentRelay,
  RelayEnd,
} from '../process/membership/document_relay.js';
import type {SourcePosition} from '../process/membership/document_source.js';
import {isLaterPosition} from '../process/membership/document_source.js';
import type {KnownDocuments} from '../process/membership/known_documents.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {WatcherSelection} from '../process/membership/watcher_selection.js';
import type {RelayAnswer} from '../protocol/relay_codec.js';
import {
  decodeRelayAnswer,
  decodeRelayQuestion,
  encodeRelayAnswer,
  encodeRelayQuestion,
} from '../protocol/relay_codec.js';

/** Both sides of one node. */
export interface PeerRelay extends DocumentRelay {
  /** Answers a question; `undefined` if it is none. */
  answer(question: Buffer): Buffer | undefined;
}

/** What a relay needs. */
export interface PeerRelayOptions {
  readonly selection: WatcherSelection;
  readonly documents: KnownDocuments;
  /** Asks the node beside an upstream; `undefined` if it does not answer. */
  readonly send: (
    entry: UpstreamEntry,
    question: Buffer,
  ) => Promise<Buffer | undefined>;
  /** A question has ended. */
  readonly onAsked?: (entry: UpstreamEntry, end: RelayEnd) => void;
}

/**
 * Bound on one answer: what is longer than a frame may be would cut the connection
 * with all requests on it, and a long one holds them up. Who asked reads all.
 */
const MAX_ANSWER_BYTES = 1_000_000;

/** Creates the relay of a node that knows nothing. */
export function createPeerRelay(options: PeerRelayOptions): PeerRelay {
  const {selection, documents} = options;
  let isWatching = false;
  return {
    ask: async (position, isSourceLost) => {
      const turn = selection.next(isSourceLost);
      if (turn.kind === 'watch') return 'watch';
      const {entry} = turn;
      const reply = await options.send(entry, encodeRelayQuestion(position));
      const answer = reply === undefined ? undefined : decodeRelayAnswer(reply);
      const end = endOf(position, answer);
      if (end === 'failed') selection.noteFailed(entry);
      else selection.noteAnswered();
      options.onAsked?.(entry, end);
      return end;
    },
    answer: question => {
      const asked = decodeRelayQuestion(question);
      if (asked === undefined) return undefined;
      const answer = {position: documents.position, isWatching};
      const changes = documents.since(asked);
      const whole = encodeRelayAnswer({...answer, changes});
      if (whole.length <= MAX_ANSWER_BYTES) return whole;
      return encodeRelayAnswer({...answer, changes: undefined});
    },
    noteWatching: next => {
      isWatching = next;
    },
    noteRead: documents.noteRead,
    noteChanges: documents.noteChanges,
  };
}

function endOf(asked: SourcePosition, answer?: RelayAnswer): RelayEnd {
  // Two nodes that polled only each other would never learn of a change.
  if (answer?.isWatching !== true) return 'failed';
  const {position, changes} = answer;
  if (changes !== undefined) return {documents: changes, position};
  // Too far behind, or in an earlier epoch; a node that is so itself is no help.
  return isLaterPosition(position, asked) ? 'read' : 'failed';
}
