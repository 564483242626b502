/**
 * Polls the watching node for changes of the published documents, and responds
 * to polls of other nodes.
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

/** Client and server side of one node. */
export interface PeerRelay extends DocumentRelay {
  /** Responds to a query; returns `undefined` for other queries. */
  answerQuery(query: Buffer): Buffer | undefined;
}

export interface PeerRelayOptions {
  readonly selection: WatcherSelection;
  readonly documents: DocumentCache;
  /**
   * Sends a query to the node of an upstream; `undefined` without a response.
   */
  readonly send: (
    entry: UpstreamEntry,
    query: Buffer,
  ) => Promise<Buffer | undefined>;
  /** A poll has finished. */
  readonly onPolled?: (entry: UpstreamEntry, result: RelayPollResult) => void;
}

/**
 * Maximum response size: a larger one than a frame allows would close the
 * connection with all its requests, and a long one delays them. The polling
 * node then reads all documents.
 */
const MAX_RESPONSE_BYTES = 1_000_000;

/** Creates the relay of a node without documents. */
export function createPeerRelay(options: PeerRelayOptions): PeerRelay {
  const {selection, documents} = options;
  let isWatching = false;
  return {
    poll: async (position, isSourceLost) => {
      const decision = selection.decide(isSourceLost);
      if (decision.kind === 'watch') return 'watch';
      const {entry} = decision;
      const payload = await options.send(entry, encodeRelayQuery(position));
      const response =
        payload === undefined ? undefined : decodeRelayResponse(payload);
      const result = toPollResult(position, response);
      if (result === 'failed') selection.recordFailure(entry);
      else selection.recordSuccess();
      options.onPolled?.(entry, result);
      return result;
    },
    answerQuery: query => {
      const queriedPosition = decodeRelayQuery(query);
      if (queriedPosition === undefined) return undefined;
      const response = {position: documents.position, isWatching};
      const changes = documents.changesSince(queriedPosition);
      const encoded = encodeRelayResponse({...response, changes});
      if (encoded.length <= MAX_RESPONSE_BYTES) return encoded;
      return encodeRelayResponse({...response, changes: undefined});
    },
    setWatching: next => {
      isWatching = next;
    },
    recordRead: documents.recordRead,
    recordChanges: documents.recordChanges,
  };
}

function toPollResult(
  queriedPosition: SourcePosition,
  response?: RelayResponse,
): RelayPollResult {
  // Two nodes that only polled each other would never receive a change.
  if (response?.isWatching !== true) return 'failed';
  const {position, changes} = response;
  if (changes !== undefined) return {documents: changes, position};
  // The polling node is too far behind or in an earlier epoch; a response from
  // a node that is itself behind is of no use.
  return isLaterPosition(position, queriedPosition) ? 'read' : 'failed';
}
