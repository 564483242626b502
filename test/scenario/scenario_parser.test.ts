import test from 'ava';
import {createScenarioParser} from './scenario_parser.js';

const parse = createScenarioParser();

test('statements are parsed with their line and their fields', t => {
  const statements = parse(
    [
      '# a comment',
      '',
      'fleet of 2 zones, 1 host each, with links, spare orderdesk-a-1',
      'policy services.orderdesk.routes.browse.retryBound = 2  # why',
      'send 3 POST orderdesk /orders at orderdesk-a-1 as g',
      'upstreams of every host of tileyard in zone a cut at middle for 1 request',
      'kill every host in zone b',
      'publish policy as version 5 with etag 8',
      'wait until maximum executions of g at tileyard <= 3 within 1.5 s',
    ].join('\n'),
    'file',
  );
  t.deepEqual(
    statements.map(({kind, line}) => [kind, line]),
    [
      ['fleet', 3],
      ['policy-set', 4],
      ['send', 5],
      ['upstream', 6],
      ['daemon', 7],
      ['publish-policy', 8],
      ['wait-until', 9],
    ],
  );
  t.like(statements[0], {hasLinks: true, spareHosts: ['orderdesk-a-1']});
  t.like(statements[2], {
    count: 3,
    group: 'g',
    target: {
      kind: 'host',
      host: {kind: 'named', name: 'orderdesk-a-1'},
    },
  });
  t.like(statements[3], {
    hosts: {kind: 'every', service: 'tileyard', zone: 'a'},
    change: {mode: 'cut', cutAt: 'middle', remainingCount: 1},
  });
  t.like(statements[4], {hosts: {kind: 'every', zone: 'b'}});
  t.like(statements[5], {version: 5, etagVersion: 8});
  t.like(statements[6], {limitMillis: 1500, condition: {value: 3}});
});

for (const text of ['start\nkill', 'expect answered of g', 'send GET a b']) {
  test(`reports the position of the syntax error in ${JSON.stringify(text)}`, t => {
    const line = text.split('\n').length;
    const error = t.throws(() => parse(text, 'bad.scenario'));
    t.true(error.message.startsWith(`bad.scenario:${String(line)}:`));
  });
}
