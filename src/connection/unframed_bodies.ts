/**
 * Receives long responses without a length completely before they are sent on.
 *
 * The close of its connection marks the end of such a response, and an upstream that breaks
 * off closes it in the same way. In chunks, the last one would present any end as that of a
 * complete response. Ended by a close while the upstream is still sending, it would look
 * complete if this process ended. Once received, it can be sent at once and ended by a close.
 */
import type {Readable} from 'node:stream';
import {createGatheredBytes} from '../base/gathered_bytes.js';
import type {HttpExchange} from './http_listener.js';
import type {ReceivedResponse} from './received_response.js';

/** Responses without a length that are being received or sent. */
export interface UnframedBodies {
  /**
   * Resolves with the complete response; beyond the limits, or at the deadline, with one that
   * still has a stream of the remaining body.
   */
  receive(
    response: UnframedResponse,
    exchange: Pick<HttpExchange, 'cancel' | 'response'>,
    deadlineMillis: number,
  ): Promise<ReceivedResponse | 'aborted'>;
}

/** A response without a length whose body has not been received completely. */
export type UnframedResponse = ReceivedResponse & {
  readonly bodyRest: Readable;
  readonly isUnframed: true;
};

/** Maximum size of the remaining body of one response. */
const MAX_BODY_BYTES = 1_048_576;

/** Maximum size of all of them, until they have been sent to their clients. */
const MAX_TOTAL_BYTES = 16_777_216;

export function isIncompleteUnframed(
  received: ReceivedResponse,
): received is UnframedResponse {
  return received.isUnframed && received.bodyRest !== undefined;
}

export function createUnframedBodies(nowMillis: () => number): UnframedBodies {
  let totalBytes = 0;

  return {
    receive: (received, {cancel, response}, deadlineMillis) =>
      new Promise(resolve => {
        const {bodyRest} = received;
        if (bodyRest.destroyed) {
          resolve('aborted');
          return;
        }
        const body = createGatheredBytes();
        body.add(received.bodyStart);
        let bodyBytes = 0;
        let isReleased = false;
        response.once('close', () => {
          isReleased = true;
          totalBytes -= bodyBytes;
        });

        const stop = (): void => {
          clearTimeout(timer);
          cancelListener.dispose();
          bodyRest.removeListener('data', onData);
          bodyRest.removeListener('end', onEnd);
          bodyRest.removeListener('error', onAborted);
          bodyRest.removeListener('close', onAborted);
        };
        const sendOnAsStream = (): void => {
          bodyRest.pause();
          stop();
          resolve({...received, bodyStart: body.take()});
        };
        const onData = (chunk: Buffer): void => {
          if (isReleased) return;
          body.add(chunk);
          bodyBytes += chunk.length;
          totalBytes += chunk.length;
          const isOverLimit =
            bodyBytes > MAX_BODY_BYTES || totalBytes > MAX_TOTAL_BYTES;
          if (isOverLimit) sendOnAsStream();
        };
        const onEnd = (): void => {
          stop();
          const bodyStart = body.take();
          resolve({...received, bodyStart, bodyRest: undefined});
        };
        const onAborted = (): void => {
          stop();
          resolve('aborted');
        };
        const timer = setTimeout(
          sendOnAsStream,
          Math.max(0, deadlineMillis - nowMillis()),
        );
        const cancelListener = cancel.onCancel(() => {
          bodyRest.destroy();
        });
        bodyRest.on('data', onData);
        bodyRest.on('end', onEnd);
        bodyRest.on('error', onAborted);
        bodyRest.on('close', onAborted);
        bodyRest.resume();
      }),
  };
}
