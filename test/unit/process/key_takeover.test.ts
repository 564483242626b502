import test from 'ava';
import type {ParsedKey} from '../../../src/process/key_format.js';
import type {KeyTakeover} from '../../../src/process/key_takeover.js';
import {createKeyTakeover} from '../../../src/process/key_takeover.js';
import {settlingMillis} from '../../../src/process/view_acceptor.js';
import {
  createZoneList,
  createZoneView,
  KEY_RULES,
  OWNER,
} from '../../fakes/keyed_nodes.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';

const {clockBoundMillis, windowMillis} = KEY_RULES;
const SETTLING_MILLIS = settlingMillis(KEY_RULES);
const OPAQUE: ParsedKey = {text: 'za.opaque', createdMillis: undefined};

interface Fixture {
  readonly takeover: KeyTakeover;
  readonly clock: ReturnType<typeof createManualTimeSource>;
  /** Takes a lease on a list of these hosts. */
  acquire(revision: number, names: readonly string[]): void;
  keyCreatedAt(createdMillis: number): ParsedKey;
}

function createFixture(): Fixture {
  const clock = createManualTimeSource();
  const takeover = createKeyTakeover({
    hostName: 'h1',
    service: OWNER.service,
    timeSource: clock,
  });
  let previous: ReturnType<typeof createZoneView> | undefined;
  return {
    takeover,
    clock,
    acquire: (revision, names) => {
      const view = createZoneView(createZoneList(revision, names));
      const atMillis = clock.monotonicMillis();
      takeover.recordAcquisition({view, previous, atMillis});
      previous = view;
    },
    keyCreatedAt: createdMillis => ({text: 'za.timed', createdMillis}),
  };
}

test('an opaque key is exclusive when the window has passed', t => {
  const {takeover, clock, acquire} = createFixture();
  t.false(takeover.isExclusive(OPAQUE));
  acquire(1, ['h1']);
  clock.advance(SETTLING_MILLIS + windowMillis - 1);
  t.false(takeover.isExclusive(OPAQUE));
  t.false(takeover.isFullyExclusive());
  clock.advance(1);
  t.true(takeover.isExclusive(OPAQUE));
  t.true(takeover.isFullyExclusive());
});

// Symptom: a key executed just before a takeover runs again just after it.
// Sequence: the key is stamped ahead by the bound, its first executor's clock
// is ahead by the bound too. Cause: one of the two bounds was left out.
test('a key proves its youth by more than twice the clock bound', t => {
  const {takeover, clock, acquire, keyCreatedAt} = createFixture();
  acquire(1, ['h1']);
  clock.advance(SETTLING_MILLIS);
  const settledMillis = clock.wallMillis();
  clock.advance(windowMillis / 2);
  const limitMillis = settledMillis + 2 * clockBoundMillis;
  t.false(takeover.isExclusive(keyCreatedAt(limitMillis)));
  t.true(takeover.isExclusive(keyCreatedAt(limitMillis + 1)));
});

test('a list change that moves no key to this host blocks none', t => {
  const {takeover, clock, acquire} = createFixture();
  acquire(1, ['h1']);
  clock.advance(SETTLING_MILLIS + windowMillis);
  acquire(2, ['h1', 'h2', 'h3']);
  const isHome =
    createZoneView(createZoneList(2, ['h1', 'h2', 'h3'])).homeOf(
      OPAQUE.text,
      OWNER.service,
    ) === 'h1';
  t.is(takeover.isExclusive(OPAQUE), isHome);
});

// Symptom: an opaque key runs again on the successor. Sequence: its home hands
// over, starts again, is up for the window and executes the key, then leaves.
// Cause: a hand-over was trusted after the window.
test('a hand-over counts for one window', t => {
  const cases = [
    {laterMillis: windowMillis, isExclusive: true},
    {laterMillis: windowMillis + 1, isExclusive: false},
  ];
  for (const {laterMillis, isExclusive} of cases) {
    const {takeover, clock, acquire} = createFixture();
    const key = keyOfSecondHost();
    acquire(1, ['h1', 'h2']);
    const {placementDigest} = createZoneView(createZoneList(1, ['h1', 'h2']));
    takeover.recordHandOver('h2', placementDigest);
    clock.advance(laterMillis);
    acquire(2, ['h1']);
    clock.advance(SETTLING_MILLIS);
    t.is(takeover.isExclusive(key), isExclusive);
  }
});

function keyOfSecondHost(): ParsedKey {
  const view = createZoneView(createZoneList(1, ['h1', 'h2']));
  const texts = Array.from(
    {length: 100},
    (_, number) => `za.opaque-${String(number)}`,
  );
  const text = texts.find(
    candidate => view.homeOf(candidate, OWNER.service) === 'h2',
  );
  return {text: text ?? '', createdMillis: undefined};
}
