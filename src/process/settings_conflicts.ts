/**
 * Rules that concern several settings fields at once.
 */
import type {Problem} from '../version/problem.js';
import type {ListenAddress, Settings} from './settings.js';

/** Heartbeats that may be lost before a peer stream is replaced. */
const SILENCE_HEARTBEATS_MINIMUM = 2;
const WILDCARD_ADDRESSES: ReadonlySet<string> = new Set(['0.0.0.0', '::']);

/** Problems between fields that are each right on their own. */
export function findConflicts(settings: Settings): readonly Problem[] {
  return [
    ...findSharedPorts(settings),
    ...findUpstreamLoop(settings),
    ...findShortSilence(settings),
  ];
}

function findSharedPorts(settings: Settings): readonly Problem[] {
  const listeners = Object.entries(settings.listen);
  return listeners.flatMap(([name, listener], index) => {
    const earlier = listeners
      .slice(0, index)
      .find(([, other]) => overlap(listener, other));
    if (earlier === undefined) return [];
    return [
      {
        path: `$.listen.${name}.port`,
        value: listener.port,
        allowed: `0 or a port other than that of $.listen.${earlier[0]}`,
      },
    ];
  });
}

/** A node whose upstream is one of its own listeners would call itself. */
function findUpstreamLoop(settings: Settings): readonly Problem[] {
  const {upstream} = settings;
  const own = Object.entries(settings.listen).find(([, listener]) =>
    overlap(upstream, listener),
  );
  if (own === undefined) return [];
  return [
    {
      path: '$.upstream.port',
      value: upstream.port,
      allowed: `a port other than that of $.listen.${own[0]}`,
    },
  ];
}

/** A silence shorter than the heartbeat would replace every healthy stream. */
function findShortSilence(settings: Settings): readonly Problem[] {
  const {heartbeatMillis, peerSilenceMillis} = settings.control;
  const minimumMillis = SILENCE_HEARTBEATS_MINIMUM * heartbeatMillis;
  if (peerSilenceMillis >= minimumMillis) return [];
  return [
    {
      path: '$.control.peerSilenceMillis',
      value: peerSilenceMillis,
      allowed: `at least ${String(minimumMillis)}, twice $.control.heartbeatMillis`,
    },
  ];
}

function overlap(a: ListenAddress, b: ListenAddress): boolean {
  if (a.port === 0 || a.port !== b.port) return false;
  return (
    a.address === b.address ||
    WILDCARD_ADDRESSES.has(a.address) ||
    WILDCARD_ADDRESSES.has(b.address)
  );
}
