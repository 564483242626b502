/**
 * Records the requests that HTTP servers of this process receive.
 */
import diagnostics from 'node:diagnostics_channel';
import type {IncomingMessage} from 'node:http';
import type {ExecutionContext} from 'ava';

/** Records each request when its headers have been parsed, until the test ends. */
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
