/**
 * Questions between nodes about requests on their way, each on a connection
 * of its own: the connection that is doubted must not carry the doubt.
 */
import http from 'node:http';
import type {HopRegistry, HopState} from '../process/hop_registry.js';
import type {Endpoint} from '../process/node_settings.js';
import {HOP_HEADER} from '../protocol/hop_headers.js';
import type {Exchange} from './node_listener.js';
import type {AskPeer} from './peer_watch.js';

/**
 * Time for one reply: a connection, a round trip between regions, and a busy
 * process at the other end.
 */
const REPLY_MILLIS = 400;

/**
 * Urgent questions asked at the same time. One packet in thirty is lost on a bad link,
 * and a lost first packet is sent again only after a second.
 */
const URGENT_COUNT = 2;

/** Ids in one question; a header holds some hundred. */
const MAX_IDS_COUNT = 200;

const SEPARATOR = ',';

/** Asks a node for the states of hops. */
export const askPeer: AskPeer = async (peer, hopIds, isUrgent) => {
  const ids = hopIds.slice(0, MAX_IDS_COUNT);
  const replies = await Promise.all(
    Array.from({length: isUrgent ? URGENT_COUNT : 1}, () => askOnce(peer, ids)),
  );
  return replies.find(reply => reply !== undefined);
};

function askOnce(
  peer: Endpoint,
  ids: readonly string[],
): Promise<readonly HopState[] | undefined> {
  return new Promise(resolve => {
    const request = http.get({
      host: peer.address,
      port: peer.port,
      agent: false,
      headers: {[HOP_HEADER.question]: ids.join(SEPARATOR)},
    });
    const timer = setTimeout(() => {
      request.destroy();
      resolve(undefined);
    }, REPLY_MILLIS);
    request.on('error', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.on('response', response => {
      clearTimeout(timer);
      response.resume();
      const text = response.headers[HOP_HEADER.reply];
      resolve(typeof text === 'string' ? decodeStates(text) : undefined);
    });
  });
}

/** Answers a question; false if the request is none. */
export function answerQuestion(
  exchange: Exchange,
  registry: HopRegistry,
): boolean {
  const text = exchange.request.headers[HOP_HEADER.question];
  if (typeof text !== 'string') return false;
  const states = text.split(SEPARATOR).map(hopId => registry.ask(hopId));
  exchange.response.writeHead(200, {
    [HOP_HEADER.reply]: states.map(state => state.charAt(0)).join(''),
    'content-length': '0',
    connection: 'close',
  });
  exchange.response.end();
  return true;
}

const STATE_OF_LETTER: Readonly<Record<string, HopState>> = {
  u: 'unknown',
  w: 'working',
  f: 'finished',
};

function decodeStates(text: string): readonly HopState[] {
  return [...text].map(letter => STATE_OF_LETTER[letter] ?? 'working');
}
