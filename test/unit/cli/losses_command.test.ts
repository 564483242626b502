import {Readable} from 'node:stream';
import test from 'ava';
import {printLosses} from '../../../src/cli/losses_command.js';

const at = (second: number): string => `2026-01-02T00:00:0${String(second)}Z`;

const LINES = [
  {
    time: at(1),
    event: 'shed',
    requestId: 'r1',
    route: 'browse',
    shedBy: 'catalogue',
    reason: 'overload',
    suppressedCount: 3,
  },
  {
    time: at(1),
    event: 'refused',
    requestId: 'r2.a.b',
    route: 'lookup',
    service: 'catalogue',
    reason: 'not-executed',
    millis: 2,
  },
  {
    time: at(1),
    event: 'answered-failure',
    requestId: 'r2.a',
    route: 'check',
    service: 'desk',
    statusCode: 500,
    hasFailedCall: true,
    millis: 30,
  },
  {
    time: at(2),
    event: 'answered-failure',
    requestId: 'r2',
    route: 'browse',
    service: 'atlas',
    statusCode: 500,
    hasFailedCall: true,
    millis: 250,
  },
  {
    time: at(3),
    event: 'failed',
    requestId: 'r3',
    route: 'order',
    service: 'desk',
    reason: 'cancelled',
    statusCode: 504,
    millis: 1000,
  },
  {time: at(3), event: 'retry', requestId: 'r4'},
].map(line => JSON.stringify(line));

async function run(json: boolean, lines = LINES, spanSeconds = 2) {
  const printed: string[] = [];
  const output = {
    writeLine: (line: string) => printed.push(line),
    writeErrorLine: (line: string) => printed.push(line),
  };
  const input = Readable.from([`${lines.join('\n')}\n`]);
  const code = await printLosses({files: [], spanSeconds, json}, input, output);
  return {code, text: printed.join('\n')};
}

test('a request counts once, under its failed call that is deepest in the chain', async t => {
  const {code, text} = await run(true);
  t.is(code, 0);
  t.deepEqual(JSON.parse(text), {
    count: 6,
    coveredRatio: 5 / 8,
    byReason: [
      {name: 'turned away for catalogue, overload', count: 4, heldMillis: 0},
      {
        name: 'call below: rejected by upstreams of catalogue',
        count: 1,
        heldMillis: 250,
      },
      {name: 'late at desk', count: 1, heldMillis: 1000},
    ],
    byRoute: [
      {
        name: 'browse: turned away for catalogue, overload',
        count: 4,
        heldMillis: 0,
      },
      {
        name: 'browse: call below: rejected by upstreams of catalogue',
        count: 1,
        heldMillis: 250,
      },
      {name: 'order: late at desk', count: 1, heldMillis: 1000},
    ],
    bySpan: [
      {name: '2026-01-02T00:00:00.000Z', count: 4, heldMillis: 0},
      {name: '2026-01-02T00:00:02.000Z', count: 2, heldMillis: 1250},
    ],
  });
});

test('the tables state the share of failures that have a log line', async t => {
  const {text} = await run(false);
  t.regex(text, /^6 attempts of clients not served; lines of 62.5%/);
  t.regex(text, /4 +0\.0 {2}turned away for catalogue, overload/);
});

test('empty logs, malformed lines and an invalid span', async t => {
  t.regex((await run(false, [])).text, /^0 attempts/);
  t.is((await run(false, ['{', '7', '{"event":"shed"}'])).code, 0);
  t.is((await run(false, LINES, 0)).code, 2);
});
