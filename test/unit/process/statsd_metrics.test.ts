import * as dgram from 'node:dgram';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import type {Metrics} from '../../../src/process/metrics.js';
import {
  createMetrics,
  DROPPED_SAMPLES_METRIC,
  SEND_ERRORS_METRIC,
} from '../../../src/process/statsd_metrics.js';

const OWN_METRICS = new Set([DROPPED_SAMPLES_METRIC, SEND_ERRORS_METRIC]);

function userTotals(metrics: Metrics) {
  return metrics.totals().filter(({name}) => !OWN_METRICS.has(name));
}

function totalOf(metrics: Metrics, name: string): number | undefined {
  return metrics.totals().find(total => total.name === name)?.value;
}

test('samples of one series add up whatever the order of the tags', t => {
  const metrics = createMetrics({maxSeriesCount: 10});
  metrics.increment('b');
  metrics.increment('a', {x: '1', y: '2'});
  metrics.increment('a', {y: '2', x: '1'}, 3);
  metrics.increment('a', {x: '1', y: '2'}, 0.5);
  metrics.increment('a', {x: '1'});
  t.deepEqual(userTotals(metrics), [
    {name: 'a', tags: {x: '1', y: '2'}, value: 4.5},
    {name: 'a', tags: {x: '1'}, value: 1},
    {name: 'b', tags: {}, value: 1},
  ]);
  t.is(totalOf(metrics, DROPPED_SAMPLES_METRIC), 0);
});

test('gauges keep the last value, timings their count, sum and maximum', t => {
  const metrics = createMetrics({maxSeriesCount: 10});
  metrics.gauge('g', 5);
  metrics.gauge('g', 2);
  metrics.timing('t', 4, {k: 'v'});
  metrics.timing('t', 1, {k: 'v'});
  t.deepEqual(userTotals(metrics), [
    {name: 'g', tags: {}, value: 2},
    {name: 't.count', tags: {k: 'v'}, value: 2},
    {name: 't.maximum_millis', tags: {k: 'v'}, value: 4},
    {name: 't.sum_millis', tags: {k: 'v'}, value: 5},
  ]);
});

test('tags with equal concatenations are different series', t => {
  const metrics = createMetrics({maxSeriesCount: 10});
  metrics.increment('a', {x: '1,y:2'});
  metrics.increment('a', {x: '1', y: '2'});
  metrics.increment('a', {x: '1","y'});
  t.is(userTotals(metrics).length, 3);
});

// Symptom: the node's memory grows until it is killed.
// Sequence: a tag takes a value from outside, each request brings a new one.
// Cause: a series kept for each value ever seen.
test('series beyond the bound are counted, known ones go on', t => {
  const metrics = createMetrics({maxSeriesCount: 2});
  for (let index = 0; index < 1000; index += 1) {
    metrics.increment('a', {value: String(index)});
    metrics.gauge('g', index, {value: String(index)});
    metrics.timing('t', index, {value: String(index)});
    metrics.increment('a', {value: '0'});
  }
  t.is(userTotals(metrics).length, 2);
  t.is(totalOf(metrics, 'a'), 1001);
  t.is(totalOf(metrics, DROPPED_SAMPLES_METRIC), 2998);
});

// Symptom and sequence as above, but the tags come in ever new orders.
test('more orders of tags than are kept still reach their series', t => {
  const metrics = createMetrics({maxSeriesCount: 1});
  const names = ['p', 'q', 'r', 's'];
  for (let round = 0; round < 24; round += 1) {
    const order = [...names].sort(
      (a, b) =>
        ((a.charCodeAt(0) * (round + 7)) % 13) -
        ((b.charCodeAt(0) * (round + 7)) % 13),
    );
    metrics.increment('a', Object.fromEntries(order.map(name => [name, '1'])));
  }
  t.is(totalOf(metrics, 'a'), 24);
  t.is(totalOf(metrics, DROPPED_SAMPLES_METRIC), 0);
});

test('changes are forwarded to the StatsD receiver', async t => {
  const receiver = dgram.createSocket('udp4');
  receiver.bind(0, '127.0.0.1');
  await once(receiver, 'listening');
  const metrics = createMetrics({
    settings: {
      statsdAddress: '127.0.0.1',
      statsdPort: (receiver.address() as AddressInfo).port,
      prefix: 'fh',
    },
    maxSeriesCount: 10,
  });
  metrics.increment('calls', {result: 'ok'}, 2);
  metrics.increment('calls', {result: 'ok'});
  metrics.increment('idle', {}, 0);
  metrics.gauge('queue', 0);
  metrics.timing('wait', 1.5);
  const received = once(receiver, 'message') as Promise<[Buffer]>;
  metrics.dispose();
  const [datagram] = await received;
  receiver.close();
  t.deepEqual(datagram.toString('utf8').split('\n').sort(), [
    'fh.calls:3|c|#result:ok',
    'fh.queue:0|g',
    'fh.wait:1.5|ms',
  ]);
});

// Symptom: requests fail while the metrics receiver is away.
// Sequence: a datagram cannot be sent, the socket reports an error.
// Cause: an error of the metrics socket that nobody handles.
test('errors of sending are counted and never thrown', async t => {
  const metrics = createMetrics({
    settings: {statsdAddress: '127.0.0.1', statsdPort: 9, prefix: 'fh'},
    maxSeriesCount: 10,
  });
  // A datagram of this length is refused when it is sent.
  metrics.timing('n'.repeat(70_000), 1);
  metrics.increment('calls');
  metrics.dispose();
  while (totalOf(metrics, SEND_ERRORS_METRIC) === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  metrics.increment('calls');
  t.is(totalOf(metrics, 'calls'), 2);
});
