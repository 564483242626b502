import test from 'ava';
import {createEntryAdmission} from '../../../../src/process/admission/entry_admission.js';
import {
  BUCKETS_COUNT,
  LEAST_IMPORTANT,
} from '../../../../src/process/admission/importance.js';
import {createLoadTable} from '../../../../src/process/admission/load_table.js';

const REQUEST = {importance: 3, attemptId: 'a'};

function createFixture() {
  const now = 1000;
  const loadTable = createLoadTable(() => now);
  const absent = new Set<string>();
  const entryAdmission = createEntryAdmission(
    loadTable,
    service => !absent.has(service),
  );
  return {
    absent,
    entryAdmission,
    observe: (service: string, level: number) => {
      loadTable.observe({
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

test('a request is rejected for the service deep in its call tree that sheds it', t => {
  const {entryAdmission, observe} = createFixture();
  observe('shop', LEAST_IMPORTANT);
  observe('stock', 2);
  const tree = new Map([
    ['shop', 1],
    ['stock', 4],
  ]);
  t.deepEqual(entryAdmission.shedCause(REQUEST, 'shop', tree), {
    service: 'stock',
    reason: 'overload',
  });
  t.is(entryAdmission.shedCause(REQUEST, 'shop', new Map()), undefined);
  const rarely = new Map([['stock', 0.1]]);
  t.is(entryAdmission.shedCause(REQUEST, 'shop', rarely), undefined);
});

test('a request that needs a service without upstreams is rejected before any work is done', t => {
  // Guards against requests that pass all other services and fail at the calls
  // to a service without upstreams; orders cannot be retried after that.
  // Happened when the hosts of the service were partitioned from the store and
  // its entries expired: the entry node considered loads only, and no node
  // reported one.
  const {entryAdmission, absent} = createFixture();
  absent.add('stock');
  t.deepEqual(
    entryAdmission.shedCause(REQUEST, 'shop', new Map([['stock', 1]])),
    {
      service: 'stock',
      reason: 'no-upstream',
    },
  );
  // Half of the requests of this kind can be served without the service.
  const often = new Map([['stock', 0.5]]);
  t.is(entryAdmission.shedCause(REQUEST, 'shop', often), undefined);
});

test('the minimum share of a lower rank is admitted while the first rank fits', t => {
  // Guards against a kind that is never admitted while more important ones take
  // all of the capacity.
  const {entryAdmission, observe} = createFixture();
  observe('shop', BUCKETS_COUNT - 1);
  const causeOf = (importance: number) =>
    entryAdmission.shedCause({...REQUEST, importance}, 'shop', new Map());
  t.is(causeOf(2 * BUCKETS_COUNT), undefined);
  t.like(causeOf(3 * BUCKETS_COUNT - 1), {reason: 'overload'});
});
