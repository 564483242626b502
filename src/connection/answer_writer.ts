/**
 * Writes answers so that a receiver can tell a whole answer from a part of one.
 */
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline, Transform} from 'node:stream';
import * as Effect from 'effect/Effect';
import type {AnswerBody, StreamedBody} from './answer_body.js';
import {matchesDeclared} from './answer_body.js';
import type {HeaderField} from './header_fields.js';
import {toRawHeaders} from './header_fields.js';

/** An answer ready to be written. */
export interface OutgoingAnswer {
  readonly statusCode: number;
  readonly headers: readonly HeaderField[];
  readonly body: AnswerBody;
}

/** How writing ended. */
export type WriteResult = 'written' | 'broken';

/**
 * Writes an answer. A streamed body that breaks off destroys the connection,
 * because ending the message instead would make the part look whole.
 */
export function writeAnswer(
  response: ServerResponse,
  answer: OutgoingAnswer,
): Effect.Effect<WriteResult> {
  if (answer.body.kind === 'whole') {
    const {bytes} = answer.body;
    return Effect.sync(() => writeWhole(response, answer, bytes));
  }
  const {body} = answer;
  return Effect.callback<WriteResult>(resume => {
    writeHead(response, answer, body.lengthBytes);
    const source = body.source;
    pipeline(source, createVerifier(body), response, error => {
      resume(Effect.succeed(error == null ? 'written' : 'broken'));
    });
    return Effect.sync(() => {
      source.destroy();
      response.destroy();
    });
  });
}

function writeWhole(
  response: ServerResponse,
  answer: OutgoingAnswer,
  bytes: Buffer,
): WriteResult {
  if (response.destroyed) return 'broken';
  writeHead(response, answer, bytes.length);
  response.end(bytes);
  return 'written';
}

function writeHead(
  response: ServerResponse,
  answer: OutgoingAnswer,
  lengthBytes: number | undefined,
): void {
  const headers = toRawHeaders(answer.headers);
  const hasBody = answer.statusCode !== 204 && answer.statusCode !== 304;
  if (lengthBytes !== undefined && hasBody) {
    headers.push('Content-Length', String(lengthBytes));
  }
  // A header set before (Connection: close while draining) must survive, and
  // writeHead with a raw list would drop it.
  for (const name of response.getHeaderNames()) {
    headers.push(name, String(response.getHeader(name)));
    response.removeHeader(name);
  }
  response.writeHead(answer.statusCode, headers);
}

/**
 * Passes a body on one chunk late, and the last chunk only after the declared
 * digest was found right; a wrong digest breaks the stream off.
 */
function createVerifier(body: StreamedBody): Transform {
  const hash = createHash('sha256');
  const held: Buffer[] = [...body.head];
  for (const chunk of held) hash.update(chunk);
  return new Transform({
    transform(this: Transform, chunk: Buffer, _encoding, done) {
      hash.update(chunk);
      for (const earlier of held.splice(0)) this.push(earlier);
      held.push(chunk);
      done();
    },
    flush(this: Transform, done) {
      if (!matchesDeclared(hash.digest('base64'), body.declaredDigest)) {
        done(new Error('body does not match its digest'));
        return;
      }
      for (const chunk of held.splice(0)) this.push(chunk);
      done();
    },
  });
}

/** Reads a request body up to a bound; fails with `too-large` or `broken`. */
export function readBody(
  source: Readable,
  maximumBytes: number,
): Effect.Effect<Buffer, 'too-large' | 'broken'> {
  return Effect.callback<Buffer, 'too-large' | 'broken'>(resume => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    source.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= maximumBytes) chunks.push(chunk);
      else resume(Effect.fail('too-large'));
    });
    source.on('end', () => {
      resume(Effect.succeed(Buffer.concat(chunks)));
    });
    source.on('error', () => {
      resume(Effect.fail('broken'));
    });
  });
}
