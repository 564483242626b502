import test from 'ava';
import {v4, v7} from 'uuid';
import {KEY_MAXIMUM_LENGTH, parseKey} from '../../../src/process/key_format.js';

const MILLIS = 1_700_000_000_123;
const UUID_V7 = v7({msecs: MILLIS});

const CASES = [
  {form: 'opaque', text: 'order-17', createdMillis: undefined},
  {form: 'UUIDv7', text: UUID_V7, createdMillis: MILLIS},
  {
    form: 'UUIDv7 in capitals',
    text: UUID_V7.toUpperCase(),
    createdMillis: MILLIS,
  },
  {form: 'zone and UUIDv7', text: `za.${UUID_V7}`, createdMillis: MILLIS},
  {form: 'other prefix', text: `za-${UUID_V7}`, createdMillis: undefined},
  {form: 'suffix', text: `${UUID_V7}.suffix`, createdMillis: undefined},
  {form: 'UUIDv4', text: v4(), createdMillis: undefined},
  {
    form: 'longest',
    text: 'k'.repeat(KEY_MAXIMUM_LENGTH),
    createdMillis: undefined,
  },
];

for (const {form, text, createdMillis} of CASES) {
  test(`key: ${form}`, t => {
    t.deepEqual(parseKey(text), {text, createdMillis});
  });
}

test('malformed keys', t => {
  const texts = ['', 'two words', 'line\n', 'ü', '\u0000'];
  for (const text of [...texts, 'k'.repeat(KEY_MAXIMUM_LENGTH + 1)]) {
    t.is(parseKey(text), undefined, text);
  }
});
