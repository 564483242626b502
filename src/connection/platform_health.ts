/**
 * State of the platform as last seen, told once per change.
 */
import type {Logger} from '../process/logger.js';
import {errorFields} from '../process/logger.js';
import type {JsonValue} from '../process/state_dump.js';
import type {PlatformDocument, PlatformError} from './platform_client.js';

/** What became of one question to the platform. */
export type ReadResult =
  | 'accepted'
  | 'unchanged'
  | 'already-held'
  | 'older'
  | 'digest-conflict'
  | 'invalid'
  | 'failed';

/** Remembers the latest result per document. */
export interface PlatformHealth {
  /** Notes an answer. */
  report(
    document: PlatformDocument,
    result: Exclude<ReadResult, 'failed'>,
  ): void;
  /** Notes that there was no answer. */
  fail(document: PlatformDocument, error: PlatformError): void;
  describe(): JsonValue;
}

/** Creates a memory without results. */
export function createPlatformHealth(logger: Logger): PlatformHealth {
  const results = new Map<PlatformDocument, ReadResult>();

  /** A platform that is down for hours must not fill the log. */
  function isChange(document: PlatformDocument, result: ReadResult): boolean {
    const previous = results.get(document);
    results.set(document, result);
    return previous !== result;
  }

  function logRefusal(document: PlatformDocument, result: ReadResult): void {
    const event =
      document === 'policy' ? 'policy-refused' : 'host-list-refused';
    logger.error(event, {
      step: 'read-platform',
      peer: 'platform',
      message: `The platform's document was refused: ${result}.`,
    });
  }

  return {
    report: (document, result) => {
      const wasLost = results.get(document) === 'failed';
      if (!isChange(document, result)) return;
      if (wasLost) logger.info('platform-reached', {document});
      const isRefused = result === 'invalid' || result === 'digest-conflict';
      if (isRefused) logRefusal(document, result);
      if (result === 'older') logger.warn('platform-stale', {document});
    },
    fail: (document, error) => {
      if (!isChange(document, 'failed')) return;
      const origin = {step: 'read-platform', peer: 'platform'};
      logger.warn('platform-lost', {document, ...errorFields(error, origin)});
    },
    describe: () => Object.fromEntries(results),
  };
}
