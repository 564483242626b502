/**
 * Clients of a measured fleet.
 */
import http from 'node:http';

/** Name under which clients address every route. */
export const BENCH_HOST_NAME = 'bench.example';

/** Where clients send their requests. */
export interface BenchEndpoint {
  readonly address: string;
  readonly outboundPort: number;
}

/** Requests of one kind. */
export interface Batch {
  readonly count: number;
  readonly concurrentCount: number;
  readonly agent: http.Agent | false;
}

/** Resolves with how many were answered with success. */
export async function sendBatch(
  entry: BenchEndpoint,
  path: string,
  batch: Batch,
): Promise<number> {
  let leftCount = batch.count;
  let servedCount = 0;
  const sendSome = async (): Promise<void> => {
    while (leftCount > 0) {
      leftCount -= 1;
      const statusCode = await sendOne(entry, path, batch.agent);
      if (statusCode === 200) servedCount += 1;
    }
  };
  await Promise.all(
    Array.from({length: batch.concurrentCount}, () => sendSome()),
  );
  return servedCount;
}

let sentCount = 0;

function sendOne(
  entry: BenchEndpoint,
  path: string,
  agent: http.Agent | false,
): Promise<number> {
  sentCount += 1;
  return new Promise((resolve, reject) => {
    const request = http.get({
      agent,
      host: entry.address,
      port: entry.outboundPort,
      path,
      headers: {
        host: BENCH_HOST_NAME,
        'attempt-id': `a${sentCount.toString(16).padStart(15, '0')}`,
        'timeout-ms': '5000',
      },
    });
    request.on('error', reject);
    request.on('response', response => {
      response.resume();
      response.on('end', () => {
        resolve(response.statusCode ?? 0);
      });
    });
  });
}
