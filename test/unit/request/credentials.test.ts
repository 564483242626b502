import test from 'ava';
import {readCredentials} from '../../../src/request/credentials.js';
import {identifySender} from '../../../src/request/sender_identity.js';
import {
  apiKeyDigest,
  createOrganisationDirectory,
} from '../../../src/version/organisation.js';

const ACME = {
  name: 'acme',
  keyDigests: [apiKeyDigest('key-of-acme')],
  rank: 1,
  quota: undefined,
};

test('the scheme of a bearer token is case-insensitive', t => {
  const expected = {kind: 'key', key: 'a.b-c_d~e+f/0=='} as const;
  for (const scheme of ['Bearer', 'bearer', 'BEARER  ']) {
    const headers = ['AUTHORIZATION', `${scheme} a.b-c_d~e+f/0==`];
    t.deepEqual(readCredentials(headers), expected);
  }
});

test('credentials other than a single bearer token are malformed', t => {
  const values = [
    '',
    'Bearer',
    'Bearer ',
    'Bearer a b',
    'Bearer a,b',
    'Bearer =',
    'Basic YTpi',
    'a',
    `Bearer ${'a'.repeat(1025)}`,
  ];
  for (const value of values) {
    t.is(readCredentials(['authorization', value]).kind, 'malformed', value);
  }
  const twice = ['Authorization', 'Bearer a', 'authorization', 'Bearer a'];
  t.is(readCredentials(twice).kind, 'malformed');
  t.is(readCredentials(['x-authorization', 'Bearer a']).kind, 'none');
});

test('a public route accepts every client and identifies those with a key', t => {
  const directory = createOrganisationDirectory([ACME]);
  const identify = (value: string, isPublic: boolean) =>
    identifySender(directory, {headers: ['Authorization', value], isPublic});
  const known = {kind: 'accepted', organisation: ACME} as const;
  const unknown = {kind: 'accepted', organisation: undefined} as const;
  t.deepEqual(identify('Bearer key-of-acme', true), known);
  t.deepEqual(identify('Bearer key-of-acme', false), known);
  t.deepEqual(identify('Bearer other', true), unknown);
  t.deepEqual(identify('Basic x', true), unknown);
  t.is(identify('Bearer other', false).kind, 'refused');
});
