import test from 'ava';
import fc from 'fast-check';
import {
  decodeQuotaAllowances,
  decodeQuotaReport,
  encodeQuotaAllowances,
  encodeQuotaReport,
  isQuotaReport,
} from '../../../src/protocol/quota_codec.js';

const REPORT = {
  reporterId: 'ab12',
  zone: 'zone-a',
  sequence: 7,
  uses: [
    {
      organisation: 'acme',
      ranCount: 41,
      unconfirmedCount: -2,
      offeredCounts: [3, 0, 1],
    },
  ],
};

const ALLOWANCES = [
  {
    organisation: 'acme',
    isSettling: true,
    admittedRatios: [1, 0.25, 0],
    returnMillis: 120,
    ranPerSecond: 9,
    limitPerSecond: 12.5,
  },
];

test('a report and its response are unchanged after encoding and decoding', t => {
  t.deepEqual(decodeQuotaReport(encodeQuotaReport(REPORT)), REPORT);
  t.deepEqual(
    decodeQuotaAllowances(encodeQuotaAllowances(ALLOWANCES)),
    ALLOWANCES,
  );
  t.true(isQuotaReport(encodeQuotaReport(REPORT)));
});

test('invalid bytes are rejected without throwing', t => {
  t.notThrows(() => {
    fc.assert(
      fc.property(fc.uint8Array(), fc.json(), (bytes, json) => {
        for (const payload of [Buffer.from(bytes), Buffer.from(json)]) {
          decodeQuotaReport(Buffer.concat([Buffer.from([4]), payload]));
          decodeQuotaAllowances(payload);
        }
      }),
    );
  });
  t.is(decodeQuotaReport(Buffer.from([4])), undefined);
  t.is(decodeQuotaReport(Buffer.from('{}')), undefined);
  t.is(decodeQuotaAllowances(Buffer.from('[[1]]')), undefined);
});
