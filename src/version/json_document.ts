/**
 * Decodes published JSON documents with a schema and reports all problems at
 * once.
 */
import {createHash} from 'node:crypto';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {collectProblems} from './schema_problems.js';
import type {Problem} from './problem.js';
import {ROOT_PATH} from './problem.js';
import {describeError} from '../base/errors.js';

/**
 * Largest accepted document; the platform stores values of up to one megabyte.
 */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** The decoded document, or all violations of its schema. */
export type DecodedDocument<T> =
  | {readonly kind: 'decoded'; readonly value: T}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]};

/** A decoder for documents of one schema. */
export type DocumentDecoder<T> = (
  documentBytes: Uint8Array,
) => DecodedDocument<T>;

type ParsedJson =
  | {readonly kind: 'json'; readonly value: unknown}
  | {readonly kind: 'unreadable'; readonly problem: Problem};

/** SHA-256 of a document as published, lower-case hex. */
export function documentDigest(documentBytes: Uint8Array): string {
  return createHash('sha256').update(documentBytes).digest('hex');
}

/** Creates a decoder that rejects unknown fields and reports all problems. */
export function createDocumentDecoder<T, E>(
  schema: Schema.Codec<T, E>,
): DocumentDecoder<T> {
  const decode = Schema.decodeUnknownResult(schema, {
    errors: 'all',
    onExcessProperty: 'error',
  });
  return documentBytes => {
    const json = parseJson(documentBytes);
    if (json.kind === 'unreadable') {
      return {kind: 'invalid', problems: [json.problem]};
    }
    const decoded = decode(json.value);
    if (Result.isSuccess(decoded)) {
      return {kind: 'decoded', value: decoded.success};
    }
    const problems = collectProblems(
      schema.ast,
      decoded.failure.issue,
      json.value,
    );
    return {kind: 'invalid', problems};
  };
}

function parseJson(documentBytes: Uint8Array): ParsedJson {
  if (documentBytes.byteLength > MAX_DOCUMENT_BYTES) {
    const found = `${String(documentBytes.byteLength)} bytes`;
    return unreadable(
      found,
      `a document of at most ${String(MAX_DOCUMENT_BYTES)} bytes`,
    );
  }
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(documentBytes);
    return {kind: 'json', value: JSON.parse(text)};
  } catch (error) {
    return unreadable(describeError(error), 'a complete JSON object in UTF-8');
  }
}

function unreadable(value: string, allowed: string): ParsedJson {
  return {kind: 'unreadable', problem: {path: ROOT_PATH, value, allowed}};
}
