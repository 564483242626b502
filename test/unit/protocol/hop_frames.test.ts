import test from 'ava';
import fc from 'fast-check';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {
  createFrameReader,
  encodeFrame,
  FRAME_KIND,
} from '../../../src/protocol/hop_frames.js';

/** Splits bytes into chunks of the given lengths; the last holds the rest. */
function split(bytes: Buffer, lengths: readonly number[]): readonly Buffer[] {
  const chunks: Buffer[] = [];
  let offset = 0;
  for (const length of lengths) {
    chunks.push(bytes.subarray(offset, offset + length));
    offset += length;
  }
  return [...chunks, bytes.subarray(offset)].filter(chunk => chunk.length > 0);
}

test('frames are decoded regardless of how the bytes are split', t => {
  const frame = fc.record({
    kind: fc.constantFrom(...Object.values(FRAME_KIND)),
    channelId: fc.integer({min: 0, max: 0xffffffff}),
    payload: fc.uint8Array({maxLength: 300}),
  });
  const lengths = fc.array(fc.integer({min: 1, max: 40}), {maxLength: 60});
  fc.assert(
    fc.property(fc.array(frame, {maxLength: 8}), lengths, (frames, splits) => {
      const bytes = Buffer.concat(
        frames.map(({kind, channelId, payload}) =>
          encodeFrame(kind, channelId, [Buffer.from(payload)]),
        ),
      );
      const read: Frame[] = [];
      const reader = createFrameReader(each => read.push(each));
      for (const chunk of split(bytes, splits)) reader.push(chunk);
      t.deepEqual(
        read.map(each => ({...each, payload: new Uint8Array(each.payload)})),
        frames.map(each => ({...each, payload: Uint8Array.from(each.payload)})),
      );
    }),
  );
});

test('a length beyond the limit is rejected before its payload arrives', t => {
  const reader = createFrameReader(() => undefined);
  const bytes = Buffer.from('GET / HTTP/1.1\r\n\r\n');
  t.throws(
    () => {
      reader.push(bytes);
    },
    {message: /exceeds the maximum frame payload/},
  );
});
