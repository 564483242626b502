/**
 * `policy explain`: the rules for a request, as text and as JSON.
 */
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {PolicyExplainArguments} from '../../../src/cli/policy_explain_command.js';
import {explainRequest} from '../../../src/cli/policy_explain_command.js';
import {createPolicyBytes} from '../../fakes/policy_documents.js';
import {createRecordedOutput} from '../../fakes/recorded_output.js';
import {createFileWriter} from '../../fakes/temporary_files.js';

function explain(t: ExecutionContext, args: Partial<PolicyExplainArguments>) {
  const file = createFileWriter(t)('policy.json', createPolicyBytes(1));
  const output = createRecordedOutput();
  const request = {service: 'desk', method: 'post', path: '/orders'};
  const code = explainRequest({file, ...request, json: false, ...args}, output);
  return {code, output};
}

test('every rule is printed as text', t => {
  const {code, output} = explain(t, {});
  t.is(code, 0);
  const text = output.lines.join('\n');
  t.regex(text, /POST \/orders of desk is route place-order/);
  t.regex(text, /orders, 1 of 3 .* only after browsing, background/);
  t.regex(text, /never: is never sent again/);
  t.regex(text, /at most 2 over the whole chain/);
  t.regex(text, /3000 ms after entry/);
  t.regex(text, /at most 40 calls wait .* longer than 200 ms/);
  t.regex(text, /may use 20 of 20 at one upstream; .* 0\.2 of the limit/);
});

test('JSON has the same rules; the query string is ignored', t => {
  const {output} = explain(t, {
    method: 'GET',
    path: '/orders/7?x=1',
    json: true,
  });
  const rules = JSON.parse(output.lines.join('\n')) as Record<string, unknown>;
  t.is(rules['route'], 'read-order');
  t.is(rules['usableSlotsCount'], 16, '20 slots minus the reserve of orders');
  t.deepEqual(rules['lessImportantClasses'], ['background']);
});

test('a request that matches nothing lists the known services or routes', t => {
  const noRoute = explain(t, {path: '/nothing'});
  t.is(noRoute.code, 1);
  t.regex(noRoute.output.errorLines[0] ?? '', /it has POST \/orders, GET/);
  const noService = explain(t, {service: 'other'});
  t.is(noService.code, 1);
  t.regex(noService.output.errorLines[0] ?? '', /the document has desk/);
});
