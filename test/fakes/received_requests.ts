/**
 * What the HTTP listeners of this process have read, answered or not.
 */
import diagnostics from 'node:diagnostics_channel';
import type {IncomingMessage} from 'node:http';
import type {ExecutionContext} from 'ava';

/** Records requests as their headers are read, until the test ends. */
export function recordReceivedRequests(
  t: ExecutionContext,
): readonly IncomingMessage[] {
  const requests: IncomingMessage[] = [];
  const record = (message: unknown): void => {
    requests.push((message as {readonly request: IncomingMessage}).request);
  };
  diagnostics.subscribe('http.server.request.start', record);
  t.teardown(() => {
    diagnostics.unsubscribe('http.server.request.start', record);
  });
  return requests;
}
