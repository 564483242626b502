import test from 'ava';

import {parseSettings} from '../../../../src/process/settings/settings_file_schema.js';
import {MAX_DOCUMENT_BYTES} from '../../../../src/version/json_document.js';
import {formatProblem} from '../../../../src/version/problem.js';
import {
  minimalSettings,
  settingsBytes,
} from '../../../fakes/minimal_settings.js';

const LISTEN = minimalSettings().listen;

function listenWith(changed: Readonly<Record<string, unknown>>) {
  return {listen: {...LISTEN, ...changed}};
}

test('a file with only the required fields gets all defaults', t => {
  const result = parseSettings(settingsBytes());
  t.is(result.kind, 'parsed');
  if (result.kind !== 'parsed') return;
  const {settings} = result;
  t.like(settings, minimalSettings());
  t.is(settings.graceMillis, 10_000);
});

// Guards against unvalidated values: a node started with a value that is valid
// JSON but meaningless fails later, or serves under a wrong identity.
const INVALID_FIELDS: readonly {
  readonly title: string;
  readonly replaced: Readonly<Record<string, unknown>>;
  readonly line: RegExp;
}[] = [
  {
    title: 'unknown field',
    replaced: {hostname: 'x'},
    line: /^\$\.hostname: found "x", allowed: /,
  },
  {
    title: 'unknown nested field',
    replaced: {upstream: {address: '127.0.0.1', port: 80, zone: 1}},
    line: /^\$\.upstream\.zone: found 1, allowed: /,
  },
  {
    title: 'missing field',
    replaced: {region: undefined},
    line: /^\$\.region: found nothing, allowed: a name of 1 to 63/,
  },
  {
    title: 'missing group',
    replaced: {listen: undefined},
    line: /^\$\.listen: found nothing, allowed: an object with caller, local/,
  },
  {
    title: 'null for a field with a default',
    replaced: {graceMillis: null},
    line: /^\$\.graceMillis: found null, allowed: a whole number.* from 1000 to/,
  },
  {
    title: 'number as text',
    replaced: {upstream: {address: '127.0.0.1', port: '80'}},
    line: /^\$\.upstream\.port: found "80", allowed: a whole number.* from 1 to 65535$/,
  },
  {
    title: 'port zero of an address to connect to',
    replaced: {upstream: {address: '127.0.0.1', port: 0}},
    line: /^\$\.upstream\.port: found 0, allowed: a whole number.* from 1 to 65535$/,
  },
  {
    title: 'port that is not an integer',
    replaced: listenWith({peer: {address: '127.0.0.1', port: 80.5}}),
    line: /^\$\.listen\.peer\.port: found 80\.5, allowed: a whole number.* from 0 to 65535$/,
  },
  {
    title: 'name instead of an address',
    replaced: {upstream: {address: 'localhost', port: 80}},
    line: /^\$\.upstream\.address: found "localhost", allowed: an IP address, version 4 or 6/,
  },
  {
    title: 'address with a zone index',
    replaced: {upstream: {address: 'fe80::1%lo', port: 80}},
    line: /^\$\.upstream\.address: found "fe80::1%lo", allowed: an IP address, .* without a zone index/,
  },
  {
    title: 'local listener that other hosts can reach',
    replaced: listenWith({local: {address: '0.0.0.0', port: 0}}),
    line: /^\$\.listen\.local\.address: found "0\.0\.0\.0", allowed: a loopback address/,
  },
  {
    title: 'platform by name',
    replaced: {platformUrl: 'http://platform:80'},
    line: /^\$\.platformUrl: found "http:\/\/platform:80", allowed: 'http:\/\/address:port'/,
  },
  {
    title: 'platform with a path',
    replaced: {platformUrl: 'http://127.0.0.1:80/v1'},
    line: /^\$\.platformUrl: found .*, allowed: 'http:\/\/address:port'/,
  },
  {
    title: 'platform over another protocol',
    replaced: {platformUrl: 'https://127.0.0.1:80'},
    line: /^\$\.platformUrl: found .*, allowed: 'http:\/\/address:port'/,
  },
  {
    title: 'service that is not a host label',
    replaced: {service: 'Order.Desk'},
    line: /^\$\.service: found "Order\.Desk", allowed: a name of 1 to 63 lower-case/,
  },
  {
    title: 'two listeners on one port',
    replaced: listenWith({
      caller: {address: '0.0.0.0', port: 8080},
      admin: {address: '127.0.0.1', port: 8080},
    }),
    line: /^\$\.listen\.admin\.port: found 8080, allowed: .* other than that of \$\.listen\.caller$/,
  },
  {
    title: 'upstream that is a listener of the node',
    replaced: {
      ...listenWith({peer: {address: '::', port: 8080}}),
      upstream: {address: '127.0.0.1', port: 8080},
    },
    line: /^\$\.upstream\.port: found 8080, allowed: .* other than that of \$\.listen\.peer$/,
  },
];

for (const {title, replaced, line} of INVALID_FIELDS) {
  test(`rejected with one line: ${title}`, t => {
    const result = parseSettings(settingsBytes(replaced));
    t.is(result.kind, 'invalid');
    if (result.kind !== 'invalid') return;
    t.is(result.problems.length, 1);
    t.regex(result.problems.map(formatProblem).join('\n'), line);
  });
}

test('all problems are reported together', t => {
  const result = parseSettings(
    settingsBytes({hostName: '', platformUrl: 7, graceMillis: 1, extra: 1}),
  );
  t.is(result.kind, 'invalid');
  if (result.kind !== 'invalid') return;
  const fields = result.problems.map(problem => problem.path).sort();
  t.deepEqual(fields, [
    '$.extra',
    '$.graceMillis',
    '$.hostName',
    '$.platformUrl',
  ]);
});

// A file that is truncated while it is copied, or is not a text file, must not
// end the daemon with a stack trace, nor cause a problem of several lines:
// parser errors quote the file, including its line breaks.
const UNPARSABLE_FILES: readonly (readonly [
  title: string,
  bytes: Uint8Array,
])[] = [
  ['empty', Buffer.alloc(0)],
  ['truncated', settingsBytes().slice(0, 40)],
  ['broken over several lines', Buffer.from('{\n"hostName":\n]\n')],
  ['not UTF-8', Buffer.from([0x7b, 0xff, 0xfe, 0x7d])],
  ['not an object', Buffer.from('[]')],
  ['too large', Buffer.alloc(MAX_DOCUMENT_BYTES + 1, 0x20)],
];

for (const [title, bytes] of UNPARSABLE_FILES) {
  test(`unreadable file: ${title}`, t => {
    const result = parseSettings(bytes);
    t.is(result.kind, 'invalid');
    if (result.kind !== 'invalid') return;
    const lines = result.problems.map(formatProblem);
    t.is(lines.length, 1);
    t.regex(lines.join(''), /^\$: found .*, allowed: [^\n]+$/);
  });
}
