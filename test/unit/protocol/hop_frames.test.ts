import test from 'ava';
import fc from 'fast-check';
import type {Frame} from '../../../src/protocol/hop_frames.js';
import {
  createFrameReader,
  encodeFrame,
  FRAME_KIND,
} from '../../../src/protocol/hop_frames.js';

/** Cuts bytes into pieces of the given lengths, the rest in one. */
function cut(bytes: Buffer, lengths: readonly number[]): readonly Buffer[] {
  const pieces: Buffer[] = [];
  let offset = 0;
  for (const length of lengths) {
    pieces.push(bytes.subarray(offset, offset + length));
    offset += length;
  }
  return [...pieces, bytes.subarray(offset)].filter(piece => piece.length > 0);
}

test('frames are read however the network cuts them', t => {
  const frame = fc.record({
    kind: fc.constantFrom(...Object.values(FRAME_KIND)),
    channelId: fc.integer({min: 0, max: 0xffffffff}),
    payload: fc.uint8Array({maxLength: 300}),
  });
  const lengths = fc.array(fc.integer({min: 1, max: 40}), {maxLength: 60});
  fc.assert(
    fc.property(fc.array(frame, {maxLength: 8}), lengths, (frames, cuts) => {
      const bytes = Buffer.concat(
        frames.map(({kind, channelId, payload}) =>
          encodeFrame(kind, channelId, [Buffer.from(payload)]),
        ),
      );
      const read: Frame[] = [];
      const reader = createFrameReader(each => read.push(each));
      for (const piece of cut(bytes, cuts)) reader.push(piece);
      t.deepEqual(
        read.map(each => ({...each, payload: new Uint8Array(each.payload)})),
        frames.map(each => ({...each, payload: Uint8Array.from(each.payload)})),
      );
    }),
  );
});

test('a length beyond the bound is refused before it is waited for', t => {
  const reader = createFrameReader(() => undefined);
  const bytes = Buffer.from('GET / HTTP/1.1\r\n\r\n');
  t.throws(
    () => {
      reader.push(bytes);
    },
    {message: /exceeds the bound/},
  );
});
