/**
 * A platform whose answers a test decides.
 */
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

/** One question as the platform sees it. */
export interface PlatformQuestion {
  readonly path: string;
  /** Version the asking node holds. */
  readonly after: number | undefined;
  readonly waitMillis: number | undefined;
}

/** Answers one question, or leaves it open. */
export type PlatformScript = (
  question: PlatformQuestion,
  response: ServerResponse,
) => void;

/** A listening platform. */
export interface ScriptedPlatform {
  readonly url: string;
  /** All questions so far. */
  readonly questions: readonly PlatformQuestion[];
  /** Decides the answers from now on. */
  setScript(script: PlatformScript): void;
  stop(): void;
}

/** Answers with a document if it is newer, else at the end of the wait. */
export function serveDocuments(
  policy: {readonly version: number; readonly bytes: Uint8Array},
  hostList?: {readonly version: number; readonly bytes: Uint8Array},
): PlatformScript {
  return (question, response) => {
    const held = question.path === '/v1/policy' ? policy : hostList;
    const version = held?.version ?? 0;
    const headers = {etag: `"${String(version)}"`};
    if (held !== undefined && version > (question.after ?? 0)) {
      response.writeHead(200, headers).end(held.bytes);
      return;
    }
    const timer = setTimeout(() => {
      response.writeHead(304, headers).end();
    }, question.waitMillis ?? 0);
    response.once('close', () => {
      clearTimeout(timer);
    });
  };
}

/** Starts a platform on loopback. */
export async function startScriptedPlatform(
  firstScript: PlatformScript,
): Promise<ScriptedPlatform> {
  const questions: PlatformQuestion[] = [];
  let script = firstScript;
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://platform');
    const question = {
      path: url.pathname,
      after: toNumber(url.searchParams.get('after')),
      waitMillis: toNumber(url.searchParams.get('wait_ms')),
    };
    questions.push(question);
    script(question, response);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${String(port)}`,
    questions,
    setScript: next => {
      script = next;
    },
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function toNumber(text: string | null): number | undefined {
  return text === null ? undefined : Number(text);
}
