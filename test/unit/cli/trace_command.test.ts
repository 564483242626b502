import {Readable} from 'node:stream';
import test from 'ava';
import {printTrace} from '../../../src/cli/trace_command.js';

const LINES = [
  '{"time":"2026-01-02T00:00:02Z","node":"b","event":"not-executed","requestId":"r1.x","rootId":"r1","reason":"too-late","level":30}',
  'collector: {"time":"2026-01-02T00:00:01Z","node":"a","event":"retry","requestId":"r1","reason":"silent"}',
  '{"time":"2026-01-02T00:00:03Z","node":"a","event":"shed","requestId":"r10"}',
  'r1 is no JSON',
  '{"broken r1',
];

async function trace(id: string, files: readonly string[] = []) {
  const printed: string[] = [];
  const input = Readable.from([`${LINES.join('\n')}\n`]);
  const code = await printTrace({id, files}, input, line => {
    printed.push(line);
  });
  return {code, printed};
}

test('lines of a request and of its calls are ordered by time', async t => {
  const {code, printed} = await trace('r1');
  t.is(code, 0);
  t.deepEqual(printed, [
    '2026-01-02T00:00:01Z a retry requestId=r1 reason=silent',
    '2026-01-02T00:00:02Z b not-executed requestId=r1.x rootId=r1 reason=too-late',
  ]);
});

test('no match and unreadable files have distinct exit codes', async t => {
  t.is((await trace('r2')).code, 1);
  const missing = await trace('r1', ['/nonexistent/log']);
  t.is(missing.code, 2);
  t.regex(missing.printed.join(''), /cannot be read/);
});
