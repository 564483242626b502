/**
 * `policy check`: reported problems and exit codes.
 */
import test from 'ava';
import type {ExecutionContext} from 'ava';
import type {ExitCode} from '../../../src/cli/command_output.js';
import {checkPolicyFiles} from '../../../src/cli/policy_check_command.js';
import type {Policy} from '../../../src/version/policy.js';
import type {Mutable} from '../../fakes/policy_documents.js';
import {createPolicyBytes} from '../../fakes/policy_documents.js';
import {createRecordedOutput} from '../../fakes/recorded_output.js';
import {createFileWriter} from '../../fakes/temporary_files.js';

test('all files are checked and the highest exit code is returned', t => {
  const writeFile = createFileWriter(t);
  const good = writeFile('good.json', createPolicyBytes(3));
  const bad = writeFile(
    'bad.json',
    createPolicyBytes(3, draft => {
      draft.bodies.requestBytes = -1;
      draft.timing.drainMillis = -1;
    }),
  );
  const check = (files: readonly string[]) => {
    const output = createRecordedOutput();
    const code = checkPolicyFiles({files, previous: undefined}, output);
    return {code, output};
  };
  t.is(check([good]).code, 0);
  const mixed = check([bad, good]);
  t.is(mixed.code, 1);
  t.is(mixed.output.lines.length, 3);
  t.regex(mixed.output.lines[0] ?? '', /error: \$\.bodies\.requestBytes/);
  t.regex(mixed.output.lines[1] ?? '', /error: \$\.timing\.drainMillis/);
  t.regex(mixed.output.lines[2] ?? '', /ok: trial version 3, SHA-256 [0-9a-f]/);
  const missing = check([`${good}.gone`, bad, good]);
  t.is(missing.code, 2);
  t.is(missing.output.errorLines.length, 1);
  t.is(missing.output.lines.length, 3);
});

function checkAgainst(
  t: ExecutionContext,
  version: number,
  change: (draft: Mutable<Policy>) => void,
) {
  const writeFile = createFileWriter(t);
  const previous = writeFile('previous.json', createPolicyBytes(3));
  const next = writeFile('next.json', createPolicyBytes(version, change));
  const output = createRecordedOutput();
  const code = checkPolicyFiles({files: [next], previous}, output);
  return {code, text: output.lines.join('\n')};
}

const updates: readonly (readonly [
  name: string,
  version: number,
  change: (draft: Mutable<Policy>) => void,
  code: ExitCode,
  finding: RegExp,
])[] = [
  ['a higher version', 4, () => undefined, 0, /^[^\n]*: ok: [^\n]*$/],
  ['an equal version', 3, d => (d.timing.drainMillis = 9), 1, /\$\.version/],
  ['a lower version', 2, () => undefined, 1, /allowed: more than 3/],
  ['another deployment', 4, d => (d.deployment = 'x'), 1, /\$\.deployment/],
  [
    'another zone',
    4,
    d => (d.availabilityZones[1]!.name = 'zc'),
    0,
    /warning: availability zones gain zc and lose zb/,
  ],
];

for (const [name, version, change, code, finding] of updates) {
  test(`an update with ${name}`, t => {
    const checked = checkAgainst(t, version, change);
    t.is(checked.code, code);
    t.regex(checked.text, finding);
  });
}

test('an unusable previous version is reported', t => {
  const writeFile = createFileWriter(t);
  const next = writeFile('next.json', createPolicyBytes(4));
  const broken = writeFile('broken.json', '{');
  const output = createRecordedOutput();
  t.is(checkPolicyFiles({files: [next], previous: broken}, output), 1);
  t.regex(output.errorLines[0] ?? '', /broken\.json: \$: /);
});

test('API keys that are shared by organisations or are not digests are reported with their path', t => {
  const writeFile = createFileWriter(t);
  const digest = 'ab'.repeat(32);
  const organisation = (name: string, digests: readonly string[]) => ({
    name,
    priority: 0,
    ratePerSecond: 5,
    burstCount: 5,
    apiKeys: digests.map((value, index) => ({
      name: `key-${String(index)}`,
      digest: value,
    })),
  });
  const check = (edit: (draft: Mutable<Policy>) => void) => {
    const output = createRecordedOutput();
    const file = writeFile('policy.json', createPolicyBytes(1, edit));
    const code = checkPolicyFiles({files: [file], previous: undefined}, output);
    return {code, text: output.lines.join('\n')};
  };
  const good = check(draft => {
    draft.organisations = [organisation('acme', [digest])];
  });
  t.is(good.code, 0, good.text);
  const shared = check(draft => {
    draft.organisations = [
      organisation('acme', [digest]),
      organisation('globex', ['cd'.repeat(32), digest]),
    ];
  });
  t.is(shared.code, 1);
  t.regex(shared.text, /\$\.organisations\[1\]\.apiKeys/);
  const noDigest = check(draft => {
    draft.organisations = [organisation('acme', ['a-key-itself'])];
  });
  t.regex(noDigest.text, /\$\.organisations\[0\]\.apiKeys\[0\]\.digest/);
  const negative = check(draft => {
    draft.organisations = [{...organisation('acme', []), ratePerSecond: -1}];
  });
  t.regex(negative.text, /\$\.organisations\[0\]\.ratePerSecond/);
});
