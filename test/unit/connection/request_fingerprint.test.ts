import test from 'ava';
import type {FingerprintedRequest} from '../../../src/connection/request_fingerprint.js';
import {computeFingerprints} from '../../../src/connection/request_fingerprint.js';

const REQUEST: FingerprintedRequest = {
  callerService: 'shop',
  method: 'POST',
  target: '/a/1?page=2',
  headers: ['Host', 'shop.example', 'Attempt-Id', 'first'],
  body: Buffer.from('body'),
};

test('a retried attempt has the same fingerprints', t => {
  const retried = {
    ...REQUEST,
    headers: ['attempt-id', 'second', 'host', 'shop.example'],
    body: Buffer.from('body'),
  };
  t.deepEqual(computeFingerprints(retried), computeFingerprints(REQUEST));
});

test('a different method, host, target or body changes the fingerprint', t => {
  const others: readonly Partial<FingerprintedRequest>[] = [
    {method: 'PUT'},
    {headers: ['host', 'other.example']},
    {target: '/a/1?page=3'},
    {body: Buffer.from('bodies')},
  ];
  const contents = [{}, ...others].map(
    fields => computeFingerprints({...REQUEST, ...fields}).content,
  );
  t.is(new Set(contents).size, contents.length);
});

test('only one of the two fingerprints covers the caller', t => {
  const fromShop = computeFingerprints(REQUEST);
  const fromDesk = computeFingerprints({...REQUEST, callerService: 'desk'});
  t.is(fromDesk.content, fromShop.content);
  t.not(fromDesk.contentAndCaller, fromShop.contentAndCaller);
});
