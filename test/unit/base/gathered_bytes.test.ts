import {setImmediate as nextTurn} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import test from 'ava';
import {createGatheredBytes} from '../../../src/base/gathered_bytes.js';

test('pieces are returned in order, whatever their sizes', t => {
  for (const sizes of [
    [],
    [0],
    [5],
    [0, 3],
    [1, 1, 1],
    [4096, 1],
    [1, 70_000],
  ]) {
    const gathered = createGatheredBytes();
    const pieces = sizes.map((size, index) => Buffer.alloc(size, 97 + index));
    for (const piece of pieces) gathered.add(piece);
    const expected = Buffer.concat(pieces);
    t.is(gathered.lengthBytes, expected.length);
    t.deepEqual(gathered.take(), expected, String(sizes));
  }
});

test('a single piece is returned without a copy', t => {
  const gathered = createGatheredBytes();
  const piece = Buffer.from('whole');
  gathered.add(piece);
  t.is(gathered.take().buffer, piece.buffer);
});

test('a piece that was added is not kept', async t => {
  // Guards against bodies in chunks of one byte that exceed the heap.
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  const gathered = createGatheredBytes();
  const add = (): WeakRef<Buffer> => {
    const piece = Buffer.from('a');
    gathered.add(piece);
    return new WeakRef(piece);
  };
  const pieces = [add(), add(), add()];
  await nextTurn();
  collectGarbage();
  t.deepEqual(
    pieces.map(piece => piece.deref()),
    [undefined, undefined, undefined],
  );
  t.is(gathered.take().toString(), 'aaa');
});
