/**
 * Gets changes of the published documents from the node that watches for this one,
 * and answers nodes that ask this one.
 */
import type {
  DocumentRelay,
  RelayPollResult,
} from '../process/membership/document_relay.js';
import type {SourcePosition} from '../process/membership/document_source.js';
import {isLaterPosition} from '../process/membership/document_source.js';
import type {DocumentCache} from '../process/membership/document_cache.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {WatcherSelection} from '../process/membership/watcher_selection.js';
import type {RelayResponse} from '../protocol/relay_codec.js';
import {
  decodeRelayResponse,
  decodeRelayQuery,
  encodeRelayResponse,
  encodeRelayQuery,
} from '../protocol/relay_codec.js';

/** Both sides of one node. */
export interface PeerRelay extends DocumentRelay {
  /** Answers a question; `undefined` if it is none. */
  answerQuery(question: Buffer): Buffer | undefined;
}

/** What a relay needs. */
export interface PeerRelayOptions {
  readonly selection: WatcherSelection;
  readonly documents: DocumentCache;
  /** Asks the node beside an upstream; `undefined` if it does not answer. */
  readonly send: (
    entry: UpstreamEntry,
    question: Buffer,
  ) => Promise<Buffer | undefined>;
  /** A question has ended. */
  readonly onPolled?: (entry: UpstreamEntry, end: RelayPollResult) => void;
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
    poll: async (position, isSourceLost) => {
      const turn = selection.decide(isSourceLost);
      if (turn.kind === 'watch') return 'watch';
      const {entry} = turn;
      const reply = await options.send(entry, encodeRelayQuery(position));
      const answer =
        reply === undefined ? undefined : decodeRelayResponse(reply);
      const end = endOf(position, answer);
      if (end === 'failed') selection.recordFailure(entry);
      else selection.recordSuccess();
      options.onPolled?.(entry, end);
      return end;
    },
    answerQuery: question => {
      const asked = decodeRelayQuery(question);
      if (asked === undefined) return undefined;
      const answer = {position: documents.position, isWatching};
      const changes = documents.changesSince(asked);
      const whole = encodeRelayResponse({...answer, changes});
      if (whole.length <= MAX_ANSWER_BYTES) return whole;
      return encodeRelayResponse({...answer, changes: undefined});
    },
    setWatching: next => {
      isWatching = next;
    },
    recordRead: documents.recordRead,
    recordChanges: documents.recordChanges,
  };
}

function endOf(asked: SourcePosition, answer?: RelayResponse): RelayPollResult {
  // Two nodes that polled only each other would never learn of a change.
  if (answer?.isWatching !== true) return 'failed';
  const {position, changes} = answer;
  if (changes !== undefined) return {documents: changes, position};
  // Too far behind, or in an earlier epoch; a node that is so itself is no help.
  return isLaterPosition(position, asked) ? 'read' : 'failed';
}
