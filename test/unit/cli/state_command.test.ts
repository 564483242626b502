import * as http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {ExecutionContext} from 'ava';
import test from 'ava';

import {parseAdminAddress} from '../../../src/cli/admin_client.js';
import {showState} from '../../../src/cli/state_command.js';
import {formatStateTable, toStateRows} from '../../../src/cli/state_table.js';

type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => void;

async function startHost(
  t: ExecutionContext,
  handler: RequestHandler,
): Promise<string> {
  const server = http.createServer(handler);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function respondWithJson(content: unknown, statusCode = 200): RequestHandler {
  return (_request, response) => {
    response.writeHead(statusCode).end(JSON.stringify(content));
  };
}

async function run(
  hosts: readonly string[],
  options: {readonly section?: string; readonly json?: boolean} = {},
) {
  const lines: string[] = [];
  const errorLines: string[] = [];
  const exitCode = await showState(
    {
      hosts: hosts.map(parseAdminAddress),
      section: options.section,
      json: options.json ?? false,
    },
    {
      writeLine: line => lines.push(line),
      writeErrorLine: line => errorLines.push(line),
    },
  );
  return {exitCode, text: lines.join('\n'), errorLines};
}

test('the table is aligned, nested values have paths, lists are truncated', t => {
  const rows = toStateRows('10.0.0.1:80', {
    fleet: {
      hosts: Array.from({length: 22}, (_, index) => ({name: `h${index}`})),
      zones: [],
    },
    phase: 'serving\u001b[2J',
  });
  const lines = formatStateTable(rows).split('\n');
  t.is(lines[0], 'HOST         SECTION  FIELD           VALUE');
  t.is(lines[1], '10.0.0.1:80  fleet    hosts[0].name   h0');
  t.is(lines[20], '10.0.0.1:80  fleet    hosts[19].name  h19');
  t.is(lines[21], '10.0.0.1:80  fleet    hosts           (2 more)');
  t.is(lines[22], '10.0.0.1:80  fleet    zones           (none)');
  t.is(lines[23], '10.0.0.1:80  phase                    serving [2J');
  t.is(lines.length, 24);
});

test('several hosts are shown in the order given, as table and JSON', async t => {
  const first = await startHost(t, respondWithJson({phase: 'serving'}));
  const second = await startHost(t, respondWithJson({phase: 'draining'}));
  const table = await run([first, second]);
  t.is(table.exitCode, 0);
  t.regex(table.text, /serving\n.*draining$/);
  const json = await run([first, second], {json: true});
  t.deepEqual(JSON.parse(json.text), [
    {host: first, state: {phase: 'serving'}},
    {host: second, state: {phase: 'draining'}},
  ]);
});

test('a section is requested by its path', async t => {
  const host = await startHost(t, (request, response) => {
    response.end(JSON.stringify({path: request.url}));
  });
  const {text} = await run([host], {section: 'admission', json: true});
  t.deepEqual(JSON.parse(text), [
    {host, state: {admission: {path: '/state/admission'}}},
  ]);
});

// Guards against a command that hangs, prints a stack trace or omits the hosts
// that responded when one of several hosts can't be read, because one failed
// read is treated as a failure of all.
const FAULTS: readonly {
  readonly title: string;
  readonly handler: RequestHandler;
  readonly line: RegExp;
}[] = [
  {
    title: 'reset',
    handler: (_request, response) => response.destroy(),
    line: /: connect: .*socket hang up/,
  },
  {
    title: 'error response',
    handler: respondWithJson({message: 'No such state section.'}, 404),
    line: /: answer: HTTP 404: No such state section\.$/,
  },
  {
    title: 'not JSON',
    handler: (_request, response) => response.end('<html>'),
    line: /: read-answer: .*not JSON; check that this is the administration port/,
  },
  {
    title: 'truncated response',
    handler: (_request, response) => {
      response.writeHead(200, {'content-length': '100'});
      response.write('{');
      setImmediate(() => response.destroy());
    },
    line: /: read-answer: .*incomplete/,
  },
  {
    title: 'endless response',
    handler: (_request, response) => {
      const chunk = Buffer.alloc(1_048_576, 0x20);
      response.on('drain', () => response.write(chunk));
      response.write(chunk);
    },
    line: /: read-answer: .*larger than 16777216 bytes/,
  },
];

for (const {title, handler, line} of FAULTS) {
  for (const json of [false, true]) {
    test(`a host that fails is listed, exit 1: ${title}, json ${json}`, async t => {
      const good = await startHost(t, respondWithJson({phase: 'serving'}));
      const bad = await startHost(t, handler);
      const {exitCode, text, errorLines} = await run([bad, good], {json});
      t.is(exitCode, 1);
      t.is(errorLines.length, 1);
      t.regex(errorLines[0] ?? '', line);
      t.true(errorLines[0]?.startsWith(`${bad}: `));
      t.false(errorLines[0]?.includes('\n'));
      t.true(text.includes('serving'));
      if (json) t.like(JSON.parse(text)[0], {host: bad, error: {peer: bad}});
    });
  }
}

test('a host that refuses connections is listed, exit 1', async t => {
  const closed = await startHost(t, respondWithJson({}));
  const {errorLines, exitCode} = await run([closed.replace(/\d+$/, '1')]);
  t.is(exitCode, 1);
  t.regex(errorLines[0] ?? '', /^127\.0\.0\.1:1: connect: .*ECONNREFUSED/);
});

test('addresses without a valid port are rejected', t => {
  t.like(parseAdminAddress('[::1]:80'), {host: '::1', port: 80});
  t.like(parseAdminAddress('localhost:80'), {host: 'localhost', port: 80});
  for (const text of [
    '',
    '1.2.3.4',
    '1.2.3.4:',
    '::1:80',
    'a:0',
    'a:65536',
    'http://a:1',
  ]) {
    t.throws(() => parseAdminAddress(text), {message: /address:port/});
  }
});
