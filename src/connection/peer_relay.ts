/**
 * Polls another node for changes of the published documents, and responds to
 * polls of other nodes.
 */
import type {
  DocumentRelay,
  RelayPollResult,
} from '../process/membership/document_relay.js';
import type {SourcePosition} from '../process/membership/document_source.js';
import {isLaterPosition} from '../process/membership/document_source.js';
import type {DocumentCache} from '../process/membership/document_cache.js';
import type {DocumentFreshness} from '../process/membership/document_freshness.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {WatcherSelection} from '../process/membership/watcher_selection.js';
import type {RelayQuery, RelayResponse} from '../protocol/relay_codec.js';
import {
  decodeRelayResponse,
  decodeRelayQuery,
  encodeRelayResponse,
  encodeRelayQuery,
} from '../protocol/relay_codec.js';

/** Client and server side of one node. */
export interface PeerRelay extends DocumentRelay {
  /**
   * Accepts a query for changes and calls `respond` at most once, when there is
   * something new; returns false for other queries.
   */
  acceptQuery(query: Buffer, respond: (response: Buffer) => void): boolean;
}

export interface PeerRelayOptions {
  readonly selection: WatcherSelection;
  readonly documents: DocumentCache;
  readonly freshness: DocumentFreshness;
  readonly nowMillis: () => number;
  /**
   * Sends a query to the node of an upstream; `undefined` without a response.
   */
  readonly send: (
    entry: UpstreamEntry,
    query: Buffer,
    timeoutMillis: number,
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

/**
 * Minimum timeout of a poll: a node whose knowledge is already too old still
 * gives another node the time to respond.
 */
const MIN_POLL_TIMEOUT_MILLIS = 400;

/** Minimum gain of knowledge for a response: each response wakes both nodes. */
const MIN_GAIN_MILLIS = 100;

/**
 * Maximum number of waiting polls: one for each node of the largest fleet. The
 * oldest poll is dropped beyond it, and its node polls again.
 */
const MAX_WAITING_POLLS_COUNT = 1000;

/** Time after which the sender of a waiting poll has stopped waiting for it. */
const MAX_POLL_WAIT_MILLIS = 10_000;

/** A poll of another node that has no response yet. */
interface WaitingPoll {
  readonly position: SourcePosition;
  /** Time up to which the polling node knows all changes. */
  readonly knownUntilMillis: number;
  readonly receivedMillis: number;
  readonly respond: (response: Buffer) => void;
}

/** Creates the relay of a node without documents. */
export function createPeerRelay(options: PeerRelayOptions): PeerRelay {
  const {selection, documents, freshness, nowMillis} = options;
  const waitingPolls = new Set<WaitingPoll>();
  let isServing = false;

  const encodeResponse = (poll: WaitingPoll): Buffer => {
    const response = {
      position: documents.position,
      isServing,
      knownUntilOffsetMillis: Number.isFinite(freshness.knownUntilMillis)
        ? freshness.knownUntilMillis - poll.receivedMillis
        : undefined,
    };
    const changes = documents.changesSince(poll.position);
    const encoded = encodeRelayResponse({...response, changes});
    if (encoded.length <= MAX_RESPONSE_BYTES) return encoded;
    return encodeRelayResponse({...response, changes: undefined});
  };

  const hasNews = (poll: WaitingPoll): boolean =>
    !isServing ||
    isLaterPosition(documents.position, poll.position) ||
    freshness.knownUntilMillis >= poll.knownUntilMillis + MIN_GAIN_MILLIS;

  const respondToWaitingPolls = (): void => {
    for (const poll of waitingPolls) {
      if (!hasNews(poll)) continue;
      waitingPolls.delete(poll);
      poll.respond(encodeResponse(poll));
    }
  };

  const addWaitingPoll = (poll: WaitingPoll): void => {
    for (const oldest of waitingPolls) {
      const isExpired =
        poll.receivedMillis - oldest.receivedMillis > MAX_POLL_WAIT_MILLIS;
      if (!isExpired && waitingPolls.size < MAX_WAITING_POLLS_COUNT) break;
      waitingPolls.delete(oldest);
    }
    waitingPolls.add(poll);
  };

  return {
    freshness,
    poll: async (position, isSourceLost) => {
      const decision = selection.decide(isSourceLost);
      if (decision.kind === 'watch') {
        freshness.setRole('watching');
        return 'watch';
      }
      const {entry, isRelaying} = decision;
      freshness.setRole(isRelaying ? 'relaying' : 'polling');
      const sentMillis = nowMillis();
      const query = {position, ageMillis: freshness.ageMillis};
      const payload = await options.send(
        entry,
        encodeRelayQuery(query),
        Math.max(MIN_POLL_TIMEOUT_MILLIS, freshness.renewInMillis),
      );
      const response =
        payload === undefined ? undefined : decodeRelayResponse(payload);
      const result = toPollResult(query, sentMillis, response);
      if (result === 'failed') selection.recordFailure(entry);
      else selection.recordSuccess();
      options.onPolled?.(entry, result);
      return result;
    },
    acceptQuery: (query, respond) => {
      const decoded = decodeRelayQuery(query);
      if (decoded === undefined) return false;
      const receivedMillis = nowMillis();
      const {position, ageMillis = Infinity} = decoded;
      const knownUntilMillis = receivedMillis - ageMillis;
      const poll = {position, knownUntilMillis, receivedMillis, respond};
      if (decoded.ageMillis === undefined || hasNews(poll)) {
        respond(encodeResponse(poll));
      } else {
        addWaitingPoll(poll);
      }
      return true;
    },
    setServing: next => {
      isServing = next;
      if (!isServing) respondToWaitingPolls();
    },
    recordRead: (read, knownUntilMillis) => {
      documents.recordRead(read);
      freshness.record(knownUntilMillis);
      respondToWaitingPolls();
    },
    recordChanges: (batch, knownUntilMillis) => {
      documents.recordChanges(batch);
      freshness.record(knownUntilMillis);
      respondToWaitingPolls();
    },
  };
}

function toPollResult(
  query: RelayQuery,
  sentMillis: number,
  response?: RelayResponse,
): RelayPollResult {
  if (response?.isServing !== true) return 'failed';
  const {position, changes, knownUntilOffsetMillis} = response;
  if (changes !== undefined) {
    // The query arrived after it was sent, so this time is not too late.
    const knownUntilMillis =
      knownUntilOffsetMillis === undefined
        ? undefined
        : sentMillis + knownUntilOffsetMillis;
    return {documents: changes, position, knownUntilMillis};
  }
  // The polling node is too far behind or in an earlier epoch; a response from
  // a node that is itself behind is of no use.
  return isLaterPosition(position, query.position) ? 'read' : 'failed';
}
