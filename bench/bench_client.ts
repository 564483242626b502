/**
 * HTTP client of the benchmarks.
 */
import http from 'node:http';

/** Host name of all routes. */
export const BENCH_HOST_NAME = 'bench.example';

/** Node that requests are sent to. */
export interface BenchEndpoint {
  readonly address: string;
  readonly outboundPort: number;
}

export interface Batch {
  readonly count: number;
  readonly concurrentCount: number;
  readonly agent: http.Agent | false;
}

/** Sends a batch of requests; returns how many of them got a response with status 200. */
export async function sendBatch(
  endpoint: BenchEndpoint,
  path: string,
  batch: Batch,
): Promise<number> {
  let remainingCount = batch.count;
  let servedCount = 0;
  const sendRemaining = async (): Promise<void> => {
    while (remainingCount > 0) {
      remainingCount -= 1;
      const statusCode = await sendRequest(endpoint, path, batch.agent);
      if (statusCode === 200) servedCount += 1;
    }
  };
  await Promise.all(
    Array.from({length: batch.concurrentCount}, () => sendRemaining()),
  );
  return servedCount;
}

let sentCount = 0;

function sendRequest(
  endpoint: BenchEndpoint,
  path: string,
  agent: http.Agent | false,
): Promise<number> {
  sentCount += 1;
  return new Promise((resolve, reject) => {
    const request = http.get({
      agent,
      host: endpoint.address,
      port: endpoint.outboundPort,
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
