import test from 'ava';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {followDocuments} from '../../../src/connection/document_follower.js';
import {createFollowerPacing} from '../../../src/process/membership/follower_pacing.js';
import {waitUntil} from '../../fakes/wait_until.js';

/** A response without changes. */
const UNCHANGED = {documents: [], position: {epoch: 0, revision: 1}};

/** Initial documents of a running fleet. */
const INITIAL = {
  ...UNCHANGED,
  documents: [{key: 'p/1', revision: 1, text: '1'}],
};

test('a lost source is watched with short timeouts until it responds', async t => {
  // A long watch that is sent just before the store recovers times out only much
  // later, and a leaving upstream gets requests for seconds after the recovery.
  const waitsMillis: number[] = [];
  const events: string[] = [];
  const follower = Effect.runFork(
    followDocuments({
      prefix: 'p/',
      nowMillis: () => 0,
      pacing: createFollowerPacing({applyWithinMillis: 2000, random: () => 0}),
      listener: {
        onCall: () => undefined,
        onRestored: () => undefined,
        onSnapshot: () => undefined,
        onChanges: () => undefined,
        onLost: () => events.push('lost'),
        onReached: () => events.push('reached'),
      },
      source: {
        read: () => Promise.resolve(INITIAL),
        watch: (_prefix, _revision, waitMillis) => {
          waitsMillis.push(waitMillis);
          if (waitsMillis.length > 4) return new Promise(() => undefined);
          const isLost = waitsMillis.length === 2 || waitsMillis.length === 3;
          return isLost
            ? Promise.reject(new Error('no response'))
            : Promise.resolve(UNCHANGED);
        },
        dispose: () => undefined,
      },
    }),
  );
  await waitUntil('watched', () => waitsMillis.length === 5);
  await Effect.runPromise(Fiber.interrupt(follower));
  t.deepEqual(waitsMillis, [3500, 3500, 100, 100, 3500]);
  t.deepEqual(events, ['reached', 'lost', 'reached']);
});
