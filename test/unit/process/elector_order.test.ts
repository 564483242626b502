/**
 * Spread of confirmations over the electors of a zone.
 */
import test from 'ava';
import {orderElectors} from '../../../src/process/elector_order.js';

const ELECTORS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7'];
const ASKED_COUNT = 5;
const HOSTS_COUNT = 700;

test('the hosts of a zone spread their asks over all electors', t => {
  // Symptom: a few hosts of a large zone spend all their time on confirmations.
  // Sequence: every host asks as many electors as a quorum needs.
  // Cause: all ask in the same order, so the last electors are never asked.
  const asksCount = new Map<string, number>();
  for (let host = 0; host < HOSTS_COUNT; host += 1) {
    const order = orderElectors(`host-${String(host)}`, ELECTORS, new Set());
    for (const name of order.slice(0, ASKED_COUNT)) {
      asksCount.set(name, (asksCount.get(name) ?? 0) + 1);
    }
  }
  const evenCount = (HOSTS_COUNT * ASKED_COUNT) / ELECTORS.length;
  for (const name of ELECTORS) {
    const count = asksCount.get(name) ?? 0;
    t.true(
      Math.abs(count - evenCount) < 0.15 * evenCount,
      `${name}: ${String(count)}`,
    );
  }
});

test('an elector that was silent is asked last', t => {
  const order = orderElectors('host', ELECTORS, new Set(['e3', 'e5']));
  t.deepEqual(order.slice(-2).toSorted(), ['e3', 'e5']);
  t.deepEqual(order.toSorted(), ELECTORS);
});
