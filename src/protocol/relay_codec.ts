/**
 * Encodes and decodes queries for changes of the published documents, and their
 * responses.
 */
import {isFiniteNumber, parseJson} from './message_payload.js';
import type {PositionFields} from './hop_messages.js';

/** A document change as sent. */
export interface ChangeFields {
  readonly key: string;
  readonly revision: number;
  /** `undefined` if the document was deleted. */
  readonly text: string | undefined;
}

/** Response of the queried node. */
export interface RelayResponse {
  readonly position: PositionFields;
  /** The node watches the source without errors. */
  readonly isWatching: boolean;
  /**
   * `undefined` if the node does not have all changes since the queried
   * position.
   */
  readonly changes: readonly ChangeFields[] | undefined;
}

/** First byte of a query for changes; other queries begin with 1, 3 or 4. */
const RELAY_QUERY_TYPE = 2;

/** Encodes a query for all changes after a position. */
export function encodeRelayQuery(position: PositionFields): Buffer {
  const text = JSON.stringify([position.epoch, position.revision]);
  return Buffer.concat([Buffer.from([RELAY_QUERY_TYPE]), Buffer.from(text)]);
}

/** Decodes a query; returns `undefined` if it is not a query for changes. */
export function decodeRelayQuery(payload: Buffer): PositionFields | undefined {
  if (payload[0] !== RELAY_QUERY_TYPE) return undefined;
  return parsePositionList(parseJson(payload.subarray(1).toString()));
}

export function encodeRelayResponse(response: RelayResponse): Buffer {
  const {position, isWatching, changes} = response;
  return Buffer.from(
    JSON.stringify([
      [position.epoch, position.revision],
      isWatching ? 1 : 0,
      changes?.map(({key, revision, text}) => [key, revision, text ?? 0]) ?? 0,
    ]),
  );
}

/** Decodes a response; returns `undefined` if the payload is invalid. */
export function decodeRelayResponse(
  payload: Buffer,
): RelayResponse | undefined {
  const value = parseJson(payload.toString());
  if (!Array.isArray(value)) return undefined;
  const [positionList, watchingFlag, items] = value as readonly unknown[];
  const position = parsePositionList(positionList);
  if (position === undefined) return undefined;
  const isWatching = watchingFlag === 1;
  if (!Array.isArray(items)) return {position, isWatching, changes: undefined};
  const changes = (items as readonly unknown[]).map(parseChange);
  if (!changes.every(change => change !== undefined)) return undefined;
  return {position, isWatching, changes};
}

function parseChange(value: unknown): ChangeFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [key, revision, text] = value as readonly unknown[];
  if (typeof key !== 'string' || !isFiniteNumber(revision)) return undefined;
  return {key, revision, text: typeof text === 'string' ? text : undefined};
}

function parsePositionList(value: unknown): PositionFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [epoch, revision] = value as readonly unknown[];
  if (!isFiniteNumber(epoch) || !isFiniteNumber(revision)) return undefined;
  return {epoch, revision};
}
