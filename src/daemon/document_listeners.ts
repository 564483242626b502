/**
 * Applies published documents as a follower delivers them: the configuration and the
 * upstreams.
 */
import type {DocumentListener} from '../connection/document_listener.js';
import type {ConfigurationHolder} from '../process/membership/configuration_holder.js';
import type {DecisionLog} from '../process/log/decision_log.js';
import type {
  DocumentChange,
  SourcePosition,
} from '../process/membership/document_source.js';
import type {NodeMetrics} from '../process/log/node_metrics.js';
import type {
  Decoded,
  PublishedDocuments,
} from '../process/membership/published_documents.js';
import type {UpstreamDirectory} from '../process/membership/upstream_directory.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import type {ClientLimits} from '../version/route_configuration.js';

/** Dependencies of the listeners. */
export interface DocumentListenersOptions {
  readonly documents: PublishedDocuments;
  readonly configuration: ConfigurationHolder;
  readonly directory: UpstreamDirectory;
  readonly log: DecisionLog;
  readonly metrics: NodeMetrics;
  /** Called with the limits of each accepted configuration. */
  readonly onLimits: (limits: ClientLimits) => void;
}

/** Listeners for all documents. */
export interface DocumentListeners {
  /** Listeners by the prefix of their keys. */
  readonly byPrefix: ReadonlyMap<string, DocumentListener>;
  /** All upstreams have been read at least once. */
  readonly hasUpstreams: boolean;
}

/** Creates the listeners for the configuration and the upstreams. */
export function createDocumentListeners(
  options: DocumentListenersOptions,
): DocumentListeners {
  const {documents, directory} = options;
  let hasUpstreams = false;

  let lastUpstreamsSnapshot: readonly DocumentChange[] = [];

  const applyConfigurations = (changes: readonly DocumentChange[]): void => {
    for (const change of changes) applyConfiguration(options, change);
    // A configuration may add information about upstreams that are already listed.
    if (documents.listsAllUpstreams && lastUpstreamsSnapshot.length > 0) {
      replaceUpstreams(options, lastUpstreamsSnapshot);
    }
  };
  const configurationListener: DocumentListener = {
    ...sourceEvents(options, 'configuration'),
    // An older configuration never replaces the current one.
    onRestored: () => undefined,
    onSnapshot: applyConfigurations,
    onChanges: applyConfigurations,
  };
  const events = sourceEvents(options, 'upstreams');
  const replaceAll = (changes: readonly DocumentChange[]): void => {
    if (replaceUpstreams(options, changes)) lastUpstreamsSnapshot = changes;
  };
  const upstreamsListener: DocumentListener = {
    onCall: events.onCall,
    onLost: reason => {
      directory.markSourceLost();
      events.onLost(reason);
    },
    onRestored: (before, now) => {
      directory.markSourceRestored();
      logRestored(options, before, now);
    },
    onReached: wasLostMillis => {
      directory.markSourceRecovered();
      events.onReached(wasLostMillis);
    },
    onSnapshot: changes => {
      hasUpstreams = changes.length > 0 || !documents.listsAllUpstreams;
      replaceAll(changes);
    },
    onChanges: changes => {
      if (documents.listsAllUpstreams) {
        hasUpstreams = true;
        replaceAll(changes);
        return;
      }
      for (const change of changes) applyUpstream(options, change);
    },
  };
  const byPrefix = new Map([
    [documents.configurationPrefix, configurationListener],
    [documents.upstreamsPrefix, upstreamsListener],
  ]);
  return {
    byPrefix,
    get hasUpstreams() {
      return hasUpstreams;
    },
  };
}

type SourceEvents = Pick<DocumentListener, 'onCall' | 'onLost' | 'onReached'>;

function sourceEvents(
  options: DocumentListenersOptions,
  documents: string,
): SourceEvents {
  const {log, metrics} = options;
  return {
    onCall: result => {
      if (result.documentsCount > 0 && result.ageMillis !== undefined) {
        metrics.recordAppliedChanges(result.ageMillis);
      }
      if (result.call === 'relayed') {
        metrics.recordRelayedChanges();
        log.logRequestEvent('documents-relayed', {...result});
        return;
      }
      metrics.recordStoreCall(result.call);
      log.logRequestEvent('store-call', {...result});
    },
    onLost: reason => {
      metrics.recordStoreLost();
      log.logStateEvent('store-lost', {documents, reason});
    },
    onReached: wasLostMillis => {
      const lostMillis = Math.round(wasLostMillis);
      log.logStateEvent('store-reached', {documents, lostMillis});
    },
  };
}

function logRestored(
  {log, metrics}: DocumentListenersOptions,
  before: SourcePosition,
  now: SourcePosition,
): void {
  metrics.recordStoreRestored();
  log.logStateEvent('store-restored', {
    epochBefore: before.epoch,
    revisionBefore: before.revision,
    epoch: now.epoch,
    revision: now.revision,
  });
}

function applyConfiguration(
  options: DocumentListenersOptions,
  change: DocumentChange,
): void {
  const {log, configuration} = options;
  const decoded = options.documents.decodeConfiguration(change);
  if (decoded.kind === 'other') return;
  if (decoded.kind === 'invalid') {
    const {reason, field} = decoded;
    options.metrics.recordInvalidDocument('configuration');
    log.logStateEvent('configuration-invalid', {
      key: change.key,
      field,
      reason,
      revision: change.revision,
    });
    return;
  }
  const outcome = configuration.update(decoded.value);
  log.logStateEvent(`configuration-${outcome}`, {
    configurationVersion: decoded.value.version,
    revision: change.revision,
  });
  if (outcome !== 'accepted') return;
  options.directory.reindex();
  options.onLimits(decoded.value.limits);
}

function applyUpstream(
  options: DocumentListenersOptions,
  change: DocumentChange,
): void {
  const {directory, documents} = options;
  if (change.text === undefined) {
    directory.remove([documents.upstreamIdOf(change.key)]);
    return;
  }
  const {entries, invalidKeys} = decodeEntries(options, [change]);
  if (entries.length > 0) directory.put(entries);
  if (invalidKeys.length > 0) {
    directory.markContested(invalidKeys.map(documents.upstreamIdOf));
  }
}

/** Replaces all entries; returns false without a change if a full list is invalid. */
function replaceUpstreams(
  options: DocumentListenersOptions,
  changes: readonly DocumentChange[],
): boolean {
  const {directory, documents} = options;
  const {entries, invalidKeys} = decodeEntries(options, changes);
  // An invalid list has no entries; applying it would remove the whole fleet.
  if (documents.listsAllUpstreams && invalidKeys.length > 0) return false;
  directory.replaceAll(entries, invalidKeys.map(documents.upstreamIdOf));
  return true;
}

/** Decoded entries, and the keys of invalid ones. */
interface DecodedEntries {
  readonly entries: readonly UpstreamEntry[];
  readonly invalidKeys: readonly string[];
}

function decodeEntries(
  options: DocumentListenersOptions,
  changes: readonly DocumentChange[],
): DecodedEntries {
  const entries: UpstreamEntry[] = [];
  const invalidKeys: string[] = [];
  for (const change of changes) {
    const decoded = options.documents.decodeUpstreams(change);
    if (decoded.kind === 'valid') {
      entries.push(...decoded.value);
    } else if (decoded.kind === 'invalid') {
      invalidKeys.push(change.key);
      logInvalidUpstream(options, change.key, decoded);
    }
  }
  return {entries, invalidKeys};
}

/** Uses a rate-limited event, because other writers may publish at any rate. */
function logInvalidUpstream(
  options: DocumentListenersOptions,
  key: string,
  {reason, field}: Extract<Decoded<unknown>, {kind: 'invalid'}>,
): void {
  options.metrics.recordInvalidDocument('upstream');
  options.log.logRequestEvent('upstream-invalid', {key, field, reason});
}
