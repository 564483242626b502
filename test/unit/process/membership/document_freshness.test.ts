import test from 'ava';
import type {FreshnessRole} from '../../../../src/process/membership/document_freshness.js';
import {createDocumentFreshness} from '../../../../src/process/membership/document_freshness.js';

const APPLY_WITHIN_MILLIS = 2000;

/** Time for a relay to replace a lost node, and for a call to the source. */
const MIN_STEP_MILLIS = 300;

function createFixture() {
  const clock = {millis: 0};
  const freshness = createDocumentFreshness({
    applyWithinMillis: APPLY_WITHIN_MILLIS,
    nowMillis: () => clock.millis,
  });
  return {clock, freshness};
}

test('a node that has not read has to call the source at once', t => {
  const {freshness} = createFixture();
  t.is(freshness.renewInMillis, 0);
  t.is(freshness.ageMillis, Infinity);
});

test('each role leaves time to the nodes behind it, and the last one to a call', t => {
  // Nodes served an older version, because each step of the way to them assumed that the
  // others had left it the whole bound.
  const {freshness} = createFixture();
  freshness.record(0);
  const roles: readonly FreshnessRole[] = ['watching', 'relaying', 'polling'];
  const limitsMillis = roles.map(role => {
    freshness.setRole(role);
    return freshness.renewInMillis;
  });
  for (const [index, limitMillis] of limitsMillis.entries()) {
    const nextMillis = limitsMillis[index + 1] ?? APPLY_WITHIN_MILLIS;
    t.true(nextMillis - limitMillis >= MIN_STEP_MILLIS, String(limitsMillis));
  }
});

test('older knowledge does not replace newer knowledge', t => {
  const {clock, freshness} = createFixture();
  clock.millis = 1000;
  freshness.record(900);
  freshness.record(400);
  t.is(freshness.ageMillis, 100);
});
