/**
 * Questions of nodes for changes of the published documents, and their answers.
 */
import {isFiniteNumber, parseJson} from './message_payload.js';
import type {PositionFields} from './hop_messages.js';

/** A change, as sent. */
export interface ChangeFields {
  readonly key: string;
  readonly revision: number;
  /** `undefined` if the document was deleted. */
  readonly text: string | undefined;
}

/** What a node that was asked knows. */
export interface RelayResponse {
  readonly position: PositionFields;
  /** Its own watches of the source go well. */
  readonly isWatching: boolean;
  /** `undefined` if it does not know all of them. */
  readonly changes: readonly ChangeFields[] | undefined;
}

/** First byte of a question for changes; one for loads alone begins with 1. */
const CHANGES_WANTED = 2;

/** Writes a question for what came after a position. */
export function encodeRelayQuery(position: PositionFields): Buffer {
  const text = JSON.stringify([position.epoch, position.revision]);
  return Buffer.concat([Buffer.from([CHANGES_WANTED]), Buffer.from(text)]);
}

/** Reads a question; `undefined` if it is none for changes. */
export function decodeRelayQuery(payload: Buffer): PositionFields | undefined {
  if (payload[0] !== CHANGES_WANTED) return undefined;
  return positionOf(parseJson(payload.subarray(1).toString()));
}

/** Writes an answer. */
export function encodeRelayResponse(answer: RelayResponse): Buffer {
  const {position, isWatching, changes} = answer;
  return Buffer.from(
    JSON.stringify([
      [position.epoch, position.revision],
      isWatching ? 1 : 0,
      changes?.map(({key, revision, text}) => [key, revision, text ?? 0]) ?? 0,
    ]),
  );
}

/** Reads an answer; `undefined` if it is none. */
export function decodeRelayResponse(
  payload: Buffer,
): RelayResponse | undefined {
  const value = parseJson(payload.toString());
  if (!Array.isArray(value)) return undefined;
  const [place, watching, list] = value as readonly unknown[];
  const position = positionOf(place);
  if (position === undefined) return undefined;
  const isWatching = watching === 1;
  if (!Array.isArray(list)) return {position, isWatching, changes: undefined};
  const changes = (list as readonly unknown[]).map(changeOf);
  if (!changes.every(change => change !== undefined)) return undefined;
  return {position, isWatching, changes};
}

function changeOf(value: unknown): ChangeFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [key, revision, text] = value as readonly unknown[];
  if (typeof key !== 'string' || !isFiniteNumber(revision)) return undefined;
  return {key, revision, text: typeof text === 'string' ? text : undefined};
}

function positionOf(value: unknown): PositionFields | undefined {
  if (!Array.isArray(value)) return undefined;
  const [epoch, revision] = value as readonly unknown[];
  if (!isFiniteNumber(epoch) || !isFiniteNumber(revision)) return undefined;
  return {epoch, revision};
}
