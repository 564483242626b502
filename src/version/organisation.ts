/**
 * Organisations whose clients use the deployment, known by their API keys.
 *
 * Keys are kept as digests only, so that no state dump, log line or error can
 * show one.
 */
import {createHash} from 'node:crypto';

/** An organisation of one version of the configuration. */
export interface Organisation {
  readonly name: string;
  /** Digests of its API keys, see `apiKeyDigest`. */
  readonly keyDigests: readonly string[];
  /** Importance of its requests, before that of their routes; 0 is the highest. */
  readonly rank: number;
  /** `undefined` without a limit. */
  readonly quota: OrganisationQuota | undefined;
}

/** Bound on the requests of one organisation that run in the whole fleet. */
export interface OrganisationQuota {
  readonly ratePerSecond: number;
  /** Requests that may run at once after a quiet time. */
  readonly burstCount: number;
}

/** Organisations of one version. */
export interface OrganisationDirectory {
  /** The organisation that holds a key. */
  findByKey(key: string): Organisation | undefined;
  findByName(name: string): Organisation | undefined;
  readonly all: readonly Organisation[];
  /** Rank of the least important organisation. */
  readonly lowestRank: number;
}

/** SHA-256 of an API key, lower-case hex. */
export function apiKeyDigest(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Creates a directory; each key belongs to the last organisation that lists it. */
export function createOrganisationDirectory(
  organisations: readonly Organisation[],
): OrganisationDirectory {
  const byDigest = new Map<string, Organisation>();
  const byName = new Map<string, Organisation>();
  let lowestRank = 0;
  for (const organisation of organisations) {
    byName.set(organisation.name, organisation);
    lowestRank = Math.max(lowestRank, organisation.rank);
    for (const digest of organisation.keyDigests) {
      byDigest.set(digest, organisation);
    }
  }
  return {
    findByKey: key => byDigest.get(apiKeyDigest(key)),
    findByName: name => byName.get(name),
    all: organisations,
    lowestRank,
  };
}

/** A digest that several organisations list. */
export interface SharedKey {
  readonly digest: string;
  /** Positions of the first two organisations that list it. */
  readonly indexes: readonly [number, number];
}

/** Keys that do not identify one organisation. */
export function findSharedKeys(
  organisations: readonly Pick<Organisation, 'keyDigests'>[],
): readonly SharedKey[] {
  const owners = new Map<string, number>();
  const shared: SharedKey[] = [];
  for (const [index, {keyDigests}] of organisations.entries()) {
    for (const digest of keyDigests) {
      const owner = owners.get(digest) ?? index;
      if (owner !== index) shared.push({digest, indexes: [owner, index]});
      owners.set(digest, owner);
    }
  }
  return shared;
}
