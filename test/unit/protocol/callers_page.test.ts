import * as fs from 'node:fs';

import test from 'ava';

import {statusCodeOf} from '../../../src/protocol/failure_body.js';
import {HEADER} from '../../../src/protocol/headers.js';
import type {FailureReason} from '../../../src/protocol/outcome.js';
import {isWorthRepeating} from '../../../src/request/entry_answer.js';

const PAGE = fs.readFileSync(
  new URL('../../../../docs/operate/callers.md', import.meta.url),
  'utf8',
);
const REASON_ROW = /^\| `([a-z-]+)` \| (\d{3}) \| (yes|no) \| [^|]+ \|$/gm;

/** Complete, as the compiler refuses a reason that is missing or unknown. */
const REASONS: Readonly<Record<FailureReason, true>> = {
  'malformed-request': true,
  'body-too-large': true,
  'unknown-service': true,
  'unknown-route': true,
  'key-required': true,
  'key-malformed': true,
  'key-conflict': true,
  'key-outcome-unknown': true,
  'key-home-unavailable': true,
  'key-capacity': true,
  'view-unconfirmed': true,
  'version-unknown': true,
  'no-policy': true,
  shed: true,
  'queue-full': true,
  'queue-timeout': true,
  draining: true,
  'deadline-exceeded': true,
  'no-host': true,
  'connect-failed': true,
  'connection-lost': true,
  'answer-incomplete': true,
  'answer-too-large': true,
  'attempt-timeout': true,
  cancelled: true,
  'protocol-mismatch': true,
  'internal-error': true,
};

/** Headers between nodes, which callers and upstreams never see. */
const PEER_HEADERS: ReadonlySet<string> = new Set([HEADER.call, HEADER.result]);

/** Headers whose meaning is that of HTTP, and internal to the layer here. */
const STANDARD_HEADERS: ReadonlySet<string> = new Set([
  HEADER.contentLength,
  HEADER.contentDigest,
]);

test('the page lists every failure with its status code and Retry-After', t => {
  const rows = [...PAGE.matchAll(REASON_ROW)].map(row => row.slice(1));
  const expected = Object.keys(REASONS).map(name => {
    const reason = name as FailureReason;
    const isRepeatable = isWorthRepeating(reason) ? 'yes' : 'no';
    return [reason, String(statusCodeOf(reason)), isRepeatable];
  });
  t.deepEqual(rows.sort(), expected.sort());
});

test('the page names every header of the interface', t => {
  const page = PAGE.toLowerCase();
  for (const header of Object.values(HEADER)) {
    if (PEER_HEADERS.has(header) || STANDARD_HEADERS.has(header)) continue;
    t.true(page.includes(header), header);
  }
});
