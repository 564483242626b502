/**
 * `policy diff`: changes and whom they affect.
 */
import test from 'ava';
import {printPolicyChanges} from '../../../src/cli/policy_diff_command.js';
import {findPolicyChanges} from '../../../src/cli/policy_changes.js';
import {
  BASE_POLICY,
  createPolicyBytes,
  createPolicyWith,
} from '../../fakes/policy_documents.js';
import {createRecordedOutput} from '../../fakes/recorded_output.js';
import {createFileWriter} from '../../fakes/temporary_files.js';

test('items are matched by name, whatever their position', t => {
  const after = createPolicyWith(draft => {
    draft.version = 2;
    draft.availabilityZones.reverse();
    draft.classes.reverse();
    const desk = draft.services[0]!;
    desk.slotsCount = 30;
    desk.routes[0]!.deadlineMillis = 5_000;
    desk.routes[1]!.name = 'show-order';
    draft.timing.drainMillis = 1;
  });
  const changes = findPolicyChanges(BASE_POLICY, after);
  t.deepEqual(
    changes.map(({path}) => path),
    [
      'version',
      'classes.background.rank',
      'classes.orders.rank',
      'services.desk.slotsCount',
      'services.desk.routes.read-order',
      'services.desk.routes.place-order.deadlineMillis',
      'services.desk.routes.show-order',
      'timing.drainMillis',
    ],
  );
  t.like(changes[5], {
    before: 3_000,
    after: 5_000,
    concerns: 'callers of POST /orders on desk',
  });
  t.is(changes[4]?.after, undefined);
  t.is(changes[6]?.before, undefined);
});

test('text lists changes and warnings; equal documents have no changes', t => {
  const writeFile = createFileWriter(t);
  const before = writeFile('before.json', createPolicyBytes(1));
  const after = writeFile(
    'after.json',
    createPolicyBytes(2, draft => {
      draft.availabilityZones[1]!.name = 'zc';
    }),
  );
  const output = createRecordedOutput();
  t.is(printPolicyChanges({old: before, new: after, json: false}, output), 0);
  t.is(output.lines[0], 'version: 1 -> 2 (every host)');
  t.regex(output.lines.join('\n'), /availabilityZones/);
  t.regex(output.lines.at(-1) ?? '', /^warning: availability zones gain zc/);
  const same = createRecordedOutput();
  printPolicyChanges({old: before, new: before, json: false}, same);
  t.deepEqual(same.lines, ['no changes']);
});
