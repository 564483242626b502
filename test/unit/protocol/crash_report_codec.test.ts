import test from 'ava';
import type {CrashReport} from '../../../src/protocol/crash_messages.js';
import {
  decodeCrashReport,
  encodeCrashReport,
  isCrashReport,
} from '../../../src/protocol/crash_report_codec.js';
import {LOADS_QUERY} from '../../../src/protocol/load_codec.js';
import {encodeRelayQuery} from '../../../src/protocol/relay_codec.js';

const REPORT: CrashReport = {
  digest: '2.ab',
  crashes: [
    {
      crashId: 'c1',
      upstreamId: 'u-1',
      ageMillis: 12,
      fingerprints: ['a', 'b'],
      clearedFingerprints: ['c'],
    },
  ],
  summaries: [{crashId: 'c2', digest: 'f'}],
  wantedIds: ['c3'],
};

test('a report is unchanged after encoding and decoding', t => {
  const payload = encodeCrashReport(REPORT);
  t.true(isCrashReport(payload));
  t.deepEqual(decodeCrashReport(payload), REPORT);
});

test('an empty report is decoded; the invalid payloads below are variants of it', t => {
  const payload = Buffer.from('\u0003["1",[],[],[]]');
  t.deepEqual(decodeCrashReport(payload), {
    digest: '1',
    crashes: [],
    summaries: [],
    wantedIds: [],
  });
});

test('other queries are not crash reports', t => {
  t.false(isCrashReport(LOADS_QUERY));
  t.false(
    isCrashReport(
      encodeRelayQuery({position: {epoch: 1, revision: 2}, ageMillis: 0}),
    ),
  );
  t.false(isCrashReport(Buffer.alloc(0)));
});

test('malformed reports are rejected', t => {
  const typeByte = Buffer.from([3]);
  for (const text of [
    '',
    '{',
    '[]',
    '["1",1,[],[]]',
    '["1",[1],[],[]]',
    '["1",[["c","u",-1,[],[]]],[],[]]',
    '["1",[["c","u",1,[1],[]]],[],[]]',
    '["1",[["c","u",1,[]]],[],[]]',
    '["1",[["c",7,1,[],[]]],[],[]]',
    '["1",[],[["c"]],[]]',
    '["1",[],[],[1]]',
    '[1,[],[],[]]',
    '["1",[],[]]',
  ]) {
    const payload = Buffer.concat([typeByte, Buffer.from(text)]);
    t.is(decodeCrashReport(payload), undefined, text);
  }
});
