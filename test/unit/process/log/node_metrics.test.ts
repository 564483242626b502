import test from 'ava';
import {createNodeMetrics} from '../../../../src/process/log/node_metrics.js';

test('response times are reported by route and status, in cumulative buckets', async t => {
  const metrics = createNodeMetrics();
  for (const millis of [5, 5.1, 60, 9000]) {
    metrics.recordResponse('browse', 200, millis);
  }
  metrics.recordResponse('say "x"', 503, 1);
  metrics.recordEntered(true);
  metrics.recordEntered(false);
  metrics.recordEntered(false);
  const text = await metrics.text();
  const lines = new Set(text.split('\n'));
  for (const line of [
    '# TYPE fulmarhollow_answer_millis histogram',
    'fulmarhollow_answer_millis_bucket{le="5",route="browse",status="200"} 1',
    'fulmarhollow_answer_millis_bucket{le="10",route="browse",status="200"} 2',
    'fulmarhollow_answer_millis_bucket{le="100",route="browse",status="200"} 3',
    'fulmarhollow_answer_millis_bucket{le="5000",route="browse",status="200"} 3',
    'fulmarhollow_answer_millis_bucket{le="+Inf",route="browse",status="200"} 4',
    'fulmarhollow_answer_millis_sum{route="browse",status="200"} 9070.1',
    'fulmarhollow_answer_millis_count{route="browse",status="200"} 4',
    'fulmarhollow_answer_millis_count{route="say \\"x\\"",status="503"} 1',
    'fulmarhollow_entered_total{sender="upstream"} 1',
    'fulmarhollow_entered_total{sender="client"} 2',
  ]) {
    t.true(lines.has(line), `${line} in\n${text}`);
  }
});
