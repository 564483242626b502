/**
 * Reports documents of one version with different contents.
 */
import {LRUCache} from 'lru-cache';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {PeerView} from './control_codec.js';
import type {PeerLink} from './peer_link.js';
import {peerNameOf} from './peer_link.js';

const REMEMBERED_COUNT = 64;

/** Compares what peers hold with what this node holds. */
export interface VersionConflicts {
  compare(link: PeerLink, view: PeerView, own: PeerView): void;
}

/** Options of `createVersionConflicts`. */
export interface VersionConflictsOptions {
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Creates a reporter. Two documents under one version mean that the platform
 * published twice under one number: half the fleet then follows the one, half
 * the other, and no exchange settles it. Each conflict is counted and logged
 * once.
 */
export function createVersionConflicts(
  options: VersionConflictsOptions,
): VersionConflicts {
  const {metrics, logger} = options;
  const reported = new LRUCache<string, true>({max: REMEMBERED_COUNT});

  function report(link: PeerLink, kind: string, version: number): void {
    const peer = peerNameOf(link);
    const conflict = `${kind}/${String(version)}/${peer}`;
    if (reported.has(conflict)) return;
    reported.set(conflict, true);
    metrics.increment('control.version_conflicts', {kind});
    const event = kind === 'policy' ? 'policy-refused' : 'host-list-refused';
    logger.error(event, {
      step: 'compare-views',
      peer,
      message: `The peer holds another document of version ${String(version)}.`,
    });
  }

  return {
    compare: (link, view, own) => {
      const isPolicyConflict =
        view.policyVersion === own.policyVersion &&
        view.policyDigest !== own.policyDigest;
      if (isPolicyConflict) report(link, 'policy', own.policyVersion);
      const isListConflict =
        view.listRevision === own.listRevision &&
        view.listDigest !== own.listDigest;
      if (isListConflict) report(link, 'host-list', own.listRevision);
    },
  };
}
