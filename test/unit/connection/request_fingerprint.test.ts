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

test('an attempt made again has the same fingerprints', t => {
  const again = {
    ...REQUEST,
    headers: ['attempt-id', 'second', 'host', 'shop.example'],
    body: Buffer.from('body'),
  };
  t.deepEqual(computeFingerprints(again), computeFingerprints(REQUEST));
});

test('method, host, target and body make another request', t => {
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

test('the caller is part of one of both fingerprints', t => {
  const fromShop = computeFingerprints(REQUEST);
  const fromDesk = computeFingerprints({...REQUEST, callerService: 'desk'});
  t.is(fromDesk.content, fromShop.content);
  t.not(fromDesk.contentAndCaller, fromShop.contentAndCaller);
});
