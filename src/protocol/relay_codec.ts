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

/** Query for changes. */
export interface RelayQuery {
  /** The querying node has all changes up to this position. */
  readonly position: PositionFields;
  /**
   * Age of the querying node's knowledge. The response may wait until the
   * queried node has changes, or newer knowledge. `undefined` in queries of
   * earlier releases, which expect a response at once.
   */
  readonly ageMillis: number | undefined;
}

/** Response of the queried node. */
export interface RelayResponse {
  readonly position: PositionFields;
  /** The node has not lost the source. */
  readonly isServing: boolean;
  /**
   * `undefined` if the node does not have all changes since the queried
   * position.
   */
  readonly changes: readonly ChangeFields[] | undefined;
  /**
   * Time up to which the queried node knows all changes, relative to the arrival
   * of the query: negative before it. `undefined` from earlier releases.
   */
  readonly knownUntilOffsetMillis: number | undefined;
}

/** First byte of a query for changes; other queries begin with 1, 3 or 4. */
const RELAY_QUERY_TYPE = 2;

/** Encodes a query for all changes after a position. */
export function encodeRelayQuery({position, ageMillis}: RelayQuery): Buffer {
  const text = JSON.stringify([
    position.epoch,
    position.revision,
    ...(ageMillis === undefined ? [] : [Math.ceil(ageMillis)]),
  ]);
  return Buffer.concat([Buffer.from([RELAY_QUERY_TYPE]), Buffer.from(text)]);
}

/** Decodes a query; returns `undefined` if it is not a query for changes. */
export function decodeRelayQuery(payload: Buffer): RelayQuery | undefined {
  if (payload[0] !== RELAY_QUERY_TYPE) return undefined;
  const value = parseJson(payload.subarray(1).toString());
  const position = parsePositionList(value);
  if (position === undefined) return undefined;
  const ageMillis = (value as readonly unknown[])[2];
  return {position, ageMillis: finiteOrUndefined(ageMillis)};
}

export function encodeRelayResponse(response: RelayResponse): Buffer {
  const {position, isServing, changes, knownUntilOffsetMillis} = response;
  return Buffer.from(
    JSON.stringify([
      [position.epoch, position.revision],
      isServing ? 1 : 0,
      changes?.map(({key, revision, text}) => [key, revision, text ?? 0]) ?? 0,
      ...(knownUntilOffsetMillis === undefined
        ? []
        : [Math.floor(knownUntilOffsetMillis)]),
    ]),
  );
}

/** Decodes a response; returns `undefined` if the payload is invalid. */
export function decodeRelayResponse(
  payload: Buffer,
): RelayResponse | undefined {
  const value = parseJson(payload.toString());
  if (!Array.isArray(value)) return undefined;
  const [positionList, servingFlag, items, offset] =
    value as readonly unknown[];
  const position = parsePositionList(positionList);
  if (position === undefined) return undefined;
  const head = {
    position,
    isServing: servingFlag === 1,
    knownUntilOffsetMillis: finiteOrUndefined(offset),
  };
  if (!Array.isArray(items)) return {...head, changes: undefined};
  const changes = (items as readonly unknown[]).map(parseChange);
  if (!changes.every(change => change !== undefined)) return undefined;
  return {...head, changes};
}

function finiteOrUndefined(value: unknown): number | undefined {
  return isFiniteNumber(value) ? value : undefined;
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
