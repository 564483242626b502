/**
 * Contract between operators' browsers and the console: it accepts requests only
 * from its own pages and saves only valid documents.
 */
import {existsSync, readFileSync} from 'node:fs';
import * as http from 'node:http';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {createConsoleServer} from '../../src/cli/console/console_server.js';
import {createConsoleSession} from '../../src/cli/console/console_session.js';
import {MAX_FORM_BYTES} from '../../src/cli/console/form_body.js';
import {readFields, readProblems} from '../fakes/console_page.js';
import {compileOrThrow, createPolicyBytes} from '../fakes/policy_documents.js';
import {createFileWriter} from '../fakes/temporary_files.js';

interface PageResponse {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

interface PageRequest {
  readonly page?: string;
  readonly token?: string;
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
}

const FORM_HEADERS = {'content-type': 'application/x-www-form-urlencoded'};
const PREVIOUS_VERSION = 5;

async function startConsole(t: ExecutionContext, fileContent?: string) {
  const writeFile = createFileWriter(t);
  const outputFile = writeFile('existing.json', fileContent ?? '') + '.out';
  const existingFile = outputFile.slice(0, -'.out'.length);
  const previous = compileOrThrow(createPolicyBytes(PREVIOUS_VERSION));
  const session = createConsoleSession({
    previous,
    outputFile: fileContent === undefined ? outputFile : existingFile,
  });
  const server = await createConsoleServer({
    session,
    port: 0,
    onFailure: message => t.fail(message),
  });
  t.teardown(() => server.dispose());
  const url = new URL(server.url);
  const send = (params: PageRequest) => sendRequest(url, params);
  const {body} = await send({});
  return {url, send, outputFile, existingFile, fields: readFields(body)};
}

function sendRequest(url: URL, params: PageRequest): Promise<PageResponse> {
  const token = params.token ?? url.pathname.split('/')[1] ?? '';
  return new Promise((resolve, reject) => {
    const request = http.request({
      host: url.hostname,
      port: url.port,
      path: `/${token}/${params.page ?? ''}`,
      method: params.method ?? (params.body === undefined ? 'GET' : 'POST'),
      headers:
        params.headers ?? (params.body === undefined ? {} : FORM_HEADERS),
      agent: false,
    });
    request.on('error', reject);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () =>
        resolve({
          statusCode: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    request.end(params.body);
  });
}

interface Fault {
  readonly name: string;
  readonly statusCode: number;
  /** Turns a valid save request into one that fails. */
  readonly change: (fields: URLSearchParams, port: string) => PageRequest;
}

/** A save request with changed fields. */
function withFields(
  change: (fields: URLSearchParams) => void,
): Fault['change'] {
  return fields => {
    change(fields);
    return {body: fields.toString()};
  };
}

function withHeaders(
  headers: (port: string) => http.OutgoingHttpHeaders,
): Fault['change'] {
  return (fields, port) => ({
    body: fields.toString(),
    headers: {...FORM_HEADERS, ...headers(port)},
  });
}

const faults: readonly Fault[] = [
  {
    name: 'no token',
    statusCode: 404,
    change: fields => ({token: '', body: fields.toString()}),
  },
  {
    name: 'a wrong token',
    statusCode: 404,
    change: fields => ({token: 'A'.repeat(43), body: fields.toString()}),
  },
  {
    name: 'a host name of another site that resolves to loopback (DNS rebinding)',
    statusCode: 403,
    change: withHeaders(port => ({host: `console.example:${port}`})),
  },
  {
    name: 'the host of another port',
    statusCode: 403,
    change: withHeaders(() => ({host: '127.0.0.1:1'})),
  },
  {
    name: 'a form of another origin',
    statusCode: 403,
    change: withHeaders(() => ({origin: 'http://console.example'})),
  },
  {
    name: 'a form without a known origin',
    statusCode: 403,
    change: withHeaders(() => ({origin: 'null'})),
  },
  {
    name: 'a form of another site without an origin',
    statusCode: 403,
    change: withHeaders(() => ({'sec-fetch-site': 'cross-site'})),
  },
  {
    name: 'another method',
    statusCode: 405,
    change: fields => ({method: 'PUT', body: fields.toString()}),
  },
  {
    name: 'an unknown page',
    statusCode: 404,
    change: fields => ({page: 'publish', body: fields.toString()}),
  },
  {
    name: 'a body of another type',
    statusCode: 400,
    change: fields => ({
      body: fields.toString(),
      headers: {'content-type': 'text/plain'},
    }),
  },
  {
    name: 'a body too large by one byte',
    statusCode: 413,
    change: fields => ({
      body: fields.toString().padEnd(MAX_FORM_BYTES + 1, 'x'),
    }),
  },
  {name: 'an empty form', statusCode: 400, change: () => ({body: ''})},
  {
    name: 'an invalid encoding',
    statusCode: 400,
    change: fields => ({body: `${fields.toString()}&action=%ff`}),
  },
  {
    name: 'a truncated form',
    statusCode: 400,
    change: fields => ({body: fields.toString().slice(0, -200)}),
  },
  {
    name: 'an unknown field',
    statusCode: 400,
    change: withFields(fields => fields.append('timing.drainSeconds', '1')),
  },
  {
    name: 'a field that names the prototype',
    statusCode: 400,
    change: withFields(fields => fields.append('__proto__.version', '1')),
  },
  {
    name: 'a duplicate field',
    statusCode: 400,
    change: withFields(fields => fields.append('version', '7')),
  },
  {
    name: 'fewer items than are counted',
    statusCode: 400,
    change: withFields(fields => fields.set('classes.count', '999999')),
  },
  {
    name: 'more items than are counted',
    statusCode: 400,
    change: withFields(fields => fields.set('classes.count', '1')),
  },
  {
    name: 'an invalid value',
    statusCode: 422,
    change: withFields(fields => fields.set('timing.drainMillis', '1 s')),
  },
  {
    name: 'inconsistent values',
    statusCode: 422,
    change: withFields(fields =>
      fields.set('services.0.connectionsCount', '1'),
    ),
  },
  {
    name: 'the version of the previous document',
    statusCode: 422,
    change: withFields(fields =>
      fields.set('version', String(PREVIOUS_VERSION)),
    ),
  },
  {
    name: 'another deployment',
    statusCode: 422,
    change: withFields(fields => fields.set('deployment', 'elsewhere')),
  },
];

for (const {name, statusCode, change} of faults) {
  test(`${name}: ${String(statusCode)}, and nothing is saved`, async t => {
    const {url, send, outputFile, fields} = await startConsole(t);
    const valid = fields.toString();
    const response = await send({page: 'save', ...change(fields, url.port)});
    t.is(response.statusCode, statusCode, response.body);
    t.false(existsSync(outputFile));
    t.is((await send({page: 'document'})).statusCode, 404);
    const after = await send({page: 'save', body: valid});
    t.is(after.statusCode, 200);
    t.true(existsSync(outputFile));
  });
}

test('the document of the forms is saved, once per version', async t => {
  const {url, send, outputFile, fields} = await startConsole(t);
  fields.set('timing.drainMillis', '12345');
  const headers = {
    ...FORM_HEADERS,
    origin: url.origin,
    'sec-fetch-site': 'same-origin',
  };
  const body = fields.toString();
  const saved = await send({page: 'save', body, headers});
  t.is(saved.statusCode, 200);
  const documentBytes = readFileSync(outputFile);
  const {policy} = compileOrThrow(documentBytes);
  t.is(policy.version, PREVIOUS_VERSION + 1);
  t.is(policy.timing.drainMillis, 12_345);
  const download = await send({page: 'document'});
  t.is(download.body, documentBytes.toString('utf8'));
  t.regex(download.headers['content-disposition'] ?? '', /-v6\.json"$/);
  const again = await send({page: 'save', body: fields.toString()});
  t.is(again.statusCode, 422);
  t.true(readFileSync(outputFile).equals(documentBytes));
  t.is(readFields(saved.body).get('version'), '7');
});

const existingFiles: readonly (readonly [name: string, content: string])[] = [
  ['is not a policy document', 'notes of the operator'],
  ['holds a newer version', new TextDecoder().decode(createPolicyBytes(9))],
  [
    'holds another deployment',
    new TextDecoder().decode(
      createPolicyBytes(1, draft => {
        draft.deployment = 'elsewhere';
      }),
    ),
  ],
];

for (const [name, content] of existingFiles) {
  test(`a file that ${name} is not overwritten`, async t => {
    const {send, existingFile, fields} = await startConsole(t, content);
    const response = await send({page: 'save', body: fields.toString()});
    t.is(response.statusCode, 422);
    t.is(readFileSync(existingFile, 'utf8'), content);
  });
}

test('problems are shown beside their fields, with the typed text', async t => {
  const {send, fields} = await startConsole(t);
  fields.set('timing.drainMillis', '"><script>alert(1)</script>');
  fields.set('services.0.routes.0.path', '');
  for (const page of ['edit', 'save']) {
    const {body} = await send({page, body: fields.toString()});
    const problems = readProblems(body);
    t.deepEqual(
      [...problems.keys()],
      ['services.0.routes.0.path', 'timing.drainMillis'],
    );
    t.regex(
      problems.get('timing.drainMillis') ?? '',
      /Allowed: a whole number/,
    );
    t.deepEqual([...readFields(body)], [...fields]);
    t.false(body.includes('<script>'));
  }
  const {body} = await send({page: 'check', body: fields.toString()});
  t.regex(body, /data-name="timing.drainMillis"/);
  t.false(body.includes('<script>'));
});

test('an edit changes the page and saves nothing', async t => {
  const {send, outputFile, fields} = await startConsole(t);
  const names = ['classes.0.name', 'classes.1.name'];
  const before = names.map(name => fields.get(name));
  fields.set('action', 'down classes.0');
  const {body} = await send({page: 'edit', body: fields.toString()});
  const after = names.map(name => readFields(body).get(name));
  t.deepEqual(after, before.toReversed());
  fields.set('action', 'down nothing');
  const refused = await send({page: 'edit', body: fields.toString()});
  t.is(refused.statusCode, 400);
  t.false(existsSync(outputFile));
});

test('every response forbids foreign scripts, frames and forms', async t => {
  const {send, fields} = await startConsole(t);
  const requests: readonly PageRequest[] = [
    {},
    {page: 'console.css'},
    {page: 'live_check.js'},
    {page: 'nowhere'},
    {token: 'wrong'},
    {page: 'check', body: fields.toString()},
    {page: 'save', body: ''},
  ];
  for (const request of requests) {
    const {headers, body} = await send(request);
    const policy = String(headers['content-security-policy']);
    t.regex(policy, /default-src 'none'/);
    t.regex(policy, /script-src 'self'/);
    t.regex(policy, /form-action 'self'/);
    t.regex(policy, /frame-ancestors 'none'/);
    t.false(policy.includes('unsafe'));
    t.is(headers['cache-control'], 'no-store');
    t.notRegex(body, /<[^>]*\s(?:on\w+|style)=/);
  }
});

test('it listens on loopback only, with a new URL each time', async t => {
  const first = await startConsole(t);
  const second = await startConsole(t);
  t.is(first.url.hostname, '127.0.0.1');
  t.not(first.url.pathname, second.url.pathname);
  t.true(first.url.pathname.length > 40);
});

test('a port in use is reported', async t => {
  const {url} = await startConsole(t);
  const session = createConsoleSession({
    previous: undefined,
    outputFile: undefined,
  });
  const port = Number(url.port);
  await t.throwsAsync(
    createConsoleServer({session, port, onFailure: () => undefined}),
    {code: 'EADDRINUSE'},
  );
});
