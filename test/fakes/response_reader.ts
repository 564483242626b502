/**
 * Incremental reader of HTTP responses, for clients on raw sockets.
 */

export interface ResponseHead {
  readonly statusCode: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** The connection ends after this response. */
  readonly closesConnection: boolean;
  /** How the end of the body is marked. */
  readonly form: BodyForm;
}

export type BodyForm = 'chunked' | 'counted' | 'until-close';

export interface ResponseReader {
  /** The head of a response has arrived, and its body has not ended. */
  readonly isWithinResponse: boolean;
  readonly push: (chunk: Buffer) => void;
  /** The sender has closed its side, which ends a body without a length. */
  readonly end: () => void;
}

export interface ResponseReaderOptions {
  /** Called when a response is complete, with its body as Latin-1. */
  readonly onResponse: (head: ResponseHead, body: string) => void;
}

interface ResponseInProgress {
  readonly head: ResponseHead;
  /** Parts of the body that have been read. */
  readonly parts: string[];
  /** Bytes before the end of the body or of the current chunk. */
  remainingBytes: number;
  /** Bytes of the line end after the current chunk. */
  lineEndBytes: number;
}

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);
const HEX = 16;

export function createResponseReader({
  onResponse,
}: ResponseReaderOptions): ResponseReader {
  let text = '';
  let current: ResponseInProgress | undefined;

  const finish = (): void => {
    const {head, parts} = current!;
    current = undefined;
    onResponse(head, parts.join(''));
  };
  /** Returns whether the body, or the current chunk, has ended. */
  const readBody = (): boolean => {
    const {remainingBytes, lineEndBytes} = current!;
    const bodyBytes = Math.min(remainingBytes, text.length);
    if (bodyBytes > 0) current!.parts.push(text.slice(0, bodyBytes));
    text = text.slice(bodyBytes);
    current!.remainingBytes -= bodyBytes;
    if (current!.remainingBytes > 0 || text.length < lineEndBytes) return false;
    text = text.slice(lineEndBytes);
    current!.lineEndBytes = 0;
    return true;
  };
  const readChunkSize = (): boolean => {
    const end = text.indexOf(LINE_END);
    if (end < 0) return false;
    const size = Number.parseInt(text.slice(0, end), HEX);
    text = text.slice(end + LINE_END.length);
    if (size > 0) {
      current!.remainingBytes = size;
      current!.lineEndBytes = LINE_END.length;
      return true;
    }
    text = text.slice(LINE_END.length);
    finish();
    return true;
  };
  const readHead = (): boolean => {
    const end = text.indexOf(HEAD_END);
    if (end < 0) return false;
    const lines = text.slice(0, end).split(LINE_END);
    text = text.slice(end + HEAD_END.length);
    current = begin(lines);
    return true;
  };
  /** Returns whether there may be more to read. */
  const step = (): boolean => {
    if (current === undefined) return readHead();
    const {form} = current.head;
    if (form === 'until-close') {
      current.parts.push(text);
      text = '';
      return false;
    }
    if (!readBody()) return false;
    if (form === 'chunked') return readChunkSize();
    finish();
    return true;
  };
  return {
    get isWithinResponse() {
      return current !== undefined;
    },
    push: chunk => {
      text += chunk.toString('latin1');
      while (step());
    },
    end: () => {
      if (current?.head.form === 'until-close') finish();
    },
  };
}

function begin(lines: readonly string[]): ResponseInProgress {
  const statusCode = Number(/^HTTP\/1\.\d (\d{3})/.exec(lines[0] ?? '')?.[1]);
  const headers = new Map<string, string>();
  for (const line of lines.slice(1)) {
    const colon = line.indexOf(':');
    headers.set(
      line.slice(0, colon).toLowerCase(),
      line.slice(colon + 1).trim(),
    );
  }
  const length = NO_BODY_STATUS_CODES.has(statusCode)
    ? '0'
    : headers.get('content-length');
  const isChunked = headers.get('transfer-encoding') === 'chunked';
  const form = isChunked
    ? 'chunked'
    : length === undefined
      ? 'until-close'
      : 'counted';
  const closesConnection =
    form === 'until-close' ||
    headers.get('connection')?.toLowerCase() === 'close';
  return {
    head: {statusCode, headers, closesConnection, form},
    parts: [],
    remainingBytes: form === 'counted' ? Number(length) : 0,
    lineEndBytes: 0,
  };
}
