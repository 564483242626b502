import test from 'ava';
import {summarizeDraft} from '../../../../src/cli/console/draft_summary.js';
import type {Policy} from '../../../../src/version/policy.js';
import type {Mutable} from '../../../fakes/policy_documents.js';
import {
  compileOrThrow,
  createPolicyBytes,
} from '../../../fakes/policy_documents.js';

const BEFORE = compileOrThrow(createPolicyBytes(5)).policy;
const [FIRST, SECOND] = BEFORE.classes;
const [SERVICE] = BEFORE.services;
const [ROUTE] = SERVICE!.routes;

function summarize(change: (draft: Mutable<Policy>) => void) {
  return summarizeDraft(compileOrThrow(createPolicyBytes(6, change)), BEFORE);
}

const changes: readonly {
  readonly change: (draft: Mutable<Policy>) => void;
  readonly sentences: readonly string[];
}[] = [
  {change: () => undefined, sentences: []},
  {
    change: draft => draft.classes.reverse(),
    sentences: BEFORE.classes
      .map((requestClass, index) => ({
        name: requestClass.name,
        from: index + 1,
        to: BEFORE.classes.length - index,
      }))
      .reverse()
      .filter(({from, to}) => from !== to)
      .map(
        ({name, from, to}) =>
          `Class ${name} moves ${to < from ? 'up' : 'down'} in importance from place ${String(from)} to place ${String(to)}.`,
      ),
  },
  {
    change: draft => {
      draft.services[0]!.slotsCount += 1;
      draft.services[0]!.routes[0]!.retryBound = 0;
      draft.timing.drainMillis = 7;
    },
    sentences: [
      `Slots of service ${SERVICE!.name}: up from ${String(SERVICE!.slotsCount)} to ${String(SERVICE!.slotsCount + 1)} calls.`,
      `Retry bound of route ${ROUTE!.name} of service ${SERVICE!.name}: down from ${String(ROUTE!.retryBound)} to 0 retries.`,
      `Drain of timing: down from ${String(BEFORE.timing.drainMillis)} to 7 ms.`,
    ],
  },
  {
    change: draft => {
      draft.availabilityZones.push({name: 'new-zone', region: 'west'});
      draft.services[0]!.routes.push({
        ...ROUTE!,
        name: 'new-route',
        path: '/new-route',
      });
    },
    sentences: [
      'Availability zone new-zone is new.',
      `Route new-route of service ${SERVICE!.name} is new.`,
    ],
  },
];

for (const {change, sentences} of changes) {
  test(`described as: ${sentences.join(' ') || 'no change'}`, t => {
    const found = summarize(change).changes.map(({sentence}) => sentence);
    t.deepEqual(found, ['Version: up from 5 to 6.', ...sentences]);
  });
}

test('a class may use what more important classes do not reserve', t => {
  const {classes, services} = summarize(draft => {
    draft.classes[0]!.reservedRatio = 0.25;
    draft.classes[1]!.reservedRatio = 0.25;
    draft.services[0]!.slotsCount = 40;
    draft.services[0]!.connectionsCount = 400;
  });
  t.deepEqual(
    classes.slice(0, 3).map(({usableRatio}) => usableRatio),
    [1, 0.75, 0.5],
  );
  t.deepEqual(services[0]?.usableSlotsCounts.slice(0, 3), [40, 30, 20]);
  t.is(classes[0]?.shedAfter, SECOND!.name);
  t.is(classes.at(-1)?.shedAfter, undefined);
  t.is(classes[0]?.name, FIRST!.name);
});

test('a first document has no changes', t => {
  const summary = summarizeDraft(
    compileOrThrow(createPolicyBytes(1)),
    undefined,
  );
  t.is(summary.previousVersion, undefined);
  t.deepEqual(summary.changes, []);
});
