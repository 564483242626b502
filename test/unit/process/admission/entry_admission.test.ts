import test from 'ava';
import {createEntryAdmission} from '../../../../src/process/admission/entry_admission.js';
import {LEAST_IMPORTANT} from '../../../../src/process/admission/importance.js';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';

const REQUEST = {importance: 3, attemptId: 'a'};

function createFixture() {
  const now = 1000;
  const board = createLoadTable(() => now);
  const absent = new Set<string>();
  const gate = createEntryAdmission(board, service => !absent.has(service));
  return {
    absent,
    gate,
    observe: (service: string, level: number) => {
      board.observe({
        upstreamId: `${service}-1`,
        service,
        inFlightCount: 10,
        queuedCount: 0,
        limitCount: 10,
        averageMillis: 40,
        level,
        madeAtMillis: now,
      });
    },
  };
}

test('a request is turned away for the service deep below that sheds it', t => {
  const {gate, observe} = createFixture();
  observe('shop', LEAST_IMPORTANT);
  observe('stock', 2);
  const tree = new Map([
    ['shop', 1],
    ['stock', 4],
  ]);
  t.deepEqual(gate.shedCause(REQUEST, 'shop', tree), {
    service: 'stock',
    reason: 'overload',
  });
  t.is(gate.shedCause(REQUEST, 'shop', new Map()), undefined);
  const rarely = new Map([['stock', 0.1]]);
  t.is(gate.shedCause(REQUEST, 'shop', rarely), undefined);
});

test('what needs a service without upstreams is turned away before it costs', t => {
  // Symptom: while a service deep in the graph is gone, requests run through
  // all others and fail at its calls; orders cannot be sent again after that.
  // Sequence: the hosts of the service are cut from the store, and its entries
  // lapse. Cause: the entry looked at loads only, and nobody reported one.
  const {gate, absent} = createFixture();
  absent.add('stock');
  t.deepEqual(gate.shedCause(REQUEST, 'shop', new Map([['stock', 1]])), {
    service: 'stock',
    reason: 'no-upstream',
  });
  // Half of its like can be served without the service.
  const often = new Map([['stock', 0.5]]);
  t.is(gate.shedCause(REQUEST, 'shop', often), undefined);
});
