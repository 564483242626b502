import test from 'ava';
import {createUpstreamDirectory} from '../../../src/process/membership/upstream_directory.js';
import {createLocalUpstream} from '../../../src/request/local_upstream.js';
import {upstreamEntry} from '../../fakes/route_documents.js';

function createFixture() {
  let now = 0;
  const changes: boolean[] = [];
  const directory = createUpstreamDirectory({
    nowMillis: () => now,
    onChange: () => undefined,
  });
  const upstream = createLocalUpstream({
    directory,
    readOwnService: () => upstreamEntry().service,
    addressReuseMillis: 2000,
    nowMillis: () => now,
    onChange: isReachable => changes.push(isReachable),
  });
  directory.put([upstreamEntry()]);
  return {
    directory,
    upstream,
    changes,
    advance: (millis: number) => {
      now += millis;
    },
  };
}

test('an upstream that is back is detected by the request admitted as a probe', t => {
  // Guards against an upstream that was down for seconds and gets no request for as long
  // again: one request in 150 ms is admitted to probe it, and the second check, just
  // before dispatch, refused this request.
  const {upstream, changes, advance} = createFixture();
  upstream.markUnreachable();
  t.is(upstream.refusalFor('u-1'), 'unreachable');
  advance(160);
  t.is(upstream.refusalFor('u-1'), undefined);
  t.is(upstream.leavingReason('u-1'), undefined);
  t.is(upstream.refusalFor('u-1'), 'unreachable');
  upstream.markReached();
  t.is(upstream.refusalFor('u-1'), undefined);
  t.deepEqual(changes, [false, true]);
});

test('an upstream that restarts is reachable, and its node is notified', t => {
  const {upstream, changes} = createFixture();
  let startsCount = 0;
  const listening = upstream.onStarted(() => {
    startsCount += 1;
  });
  upstream.markUnreachable();
  upstream.markStarted();
  t.is(upstream.refusalFor('u-1'), undefined);
  listening.dispose();
  upstream.markStarted();
  t.is(startsCount, 1);
  t.deepEqual(changes, [false, true]);
});

test('a request for an earlier start of the upstream is refused', t => {
  const {directory, upstream} = createFixture();
  directory.put([
    upstreamEntry({id: 'u-1', bornMillis: 1}),
    upstreamEntry({id: 'u-2', bornMillis: 2}),
  ]);
  t.is(upstream.refusalFor('u-1'), 'other-upstream');
  t.is(upstream.refusalFor('u-2'), undefined);
});

test('an upstream is suspected from the second failed connection in a row on', t => {
  const {upstream} = createFixture();
  let suspectedCount = 0;
  upstream.onSuspected(() => {
    suspectedCount += 1;
  });
  upstream.markUnreachable();
  t.is(suspectedCount, 0);
  upstream.markUnreachable();
  t.is(suspectedCount, 1);
  upstream.markUnreachable();
  t.is(suspectedCount, 2);
  upstream.markReached();
  upstream.markUnreachable();
  t.is(suspectedCount, 2);
});

test('a leaving upstream or a stopping node gets no requests', t => {
  const {directory, upstream} = createFixture();
  directory.put([upstreamEntry({isDraining: true})]);
  t.is(upstream.refusalFor('u-1'), 'draining');
  directory.replaceAll([]);
  t.is(upstream.leavingReason('u-1'), 'other-upstream');
  t.is(upstream.refusalFor('u-2'), undefined);
  upstream.startDraining();
  t.is(upstream.refusalFor('u-2'), 'draining');
});

test('an upstream that has announced that it is leaving gets no requests', t => {
  // Guards against requests that reach a leaving upstream under the id of its earlier
  // start, or that waited for a slot when it announced that it is leaving.
  const {directory, upstream} = createFixture();
  directory.put([upstreamEntry()]);
  upstream.markMisdirected('u-1', 'u-2');
  t.is(upstream.leavingReason('u-1'), undefined);
  directory.markLeaving('u-2');
  t.is(upstream.refusalFor('u-2'), 'leaving');
  t.is(upstream.leavingReason('u-1'), 'leaving');
});
